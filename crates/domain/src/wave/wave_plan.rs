//! The order in which a wave takes instances out of service.

use {
    crate::{
        collections::FastMap,
        fleet::InstanceRecord,
        names::{InstanceName, RackName},
    },
    serde::{Deserialize, Serialize},
};

/// How a wave orders the instances of its pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaveOrder {
    /// Rack by rack, as far as the budget allows, for the shortest roll-out.
    #[default]
    RackTogether,
    /// Spread over racks, to limit the impact of a rack failure during the wave.
    RackSpread,
    /// One instance at a time, as a baseline.
    OneAtATime,
}

/// The order and the failure buffer of a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WavePlan {
    /// The order of the instances.
    pub order: WaveOrder,
    /// Number of instances of the budget kept in reserve for failures.
    pub buffer: u32,
}

/// The state of a pool that the plan is evaluated against.
#[derive(Debug, Clone)]
pub struct WaveView<'a> {
    /// The instances with pending maintenance that may be disrupted now.
    pub ready: Vec<&'a InstanceRecord>,
    /// Number of instances out of service, for any cause.
    pub out: u32,
    /// The pool's availability budget.
    pub max_out: u32,
}

impl WavePlan {
    /// Returns the instances to take out of service now, within the budget less the buffer.
    /// Even with a buffer as large as the budget, one instance at a time may be out.
    pub fn next(&self, view: &WaveView<'_>) -> Vec<InstanceName> {
        let usable = view
            .max_out
            .saturating_sub(self.buffer)
            .max(1)
            .min(view.max_out);
        let free = match self.order {
            WaveOrder::OneAtATime => u32::from(view.out == 0).min(usable),
            WaveOrder::RackTogether | WaveOrder::RackSpread => usable.saturating_sub(view.out),
        };
        let mut ready = view.ready.clone();
        ready.sort_by(|a, b| (&a.rack, &a.name).cmp(&(&b.rack, &b.name)));
        if self.order == WaveOrder::RackSpread {
            ready = interleave_racks(ready);
        }
        ready
            .into_iter()
            .take(free as usize)
            .map(|record| record.name.clone())
            .collect()
    }
}

/// Orders instances round-robin over racks.
fn interleave_racks(ready: Vec<&InstanceRecord>) -> Vec<&InstanceRecord> {
    let mut rounds: FastMap<RackName, u32> = FastMap::default();
    let mut ordered: Vec<(u32, &InstanceRecord)> = Vec::with_capacity(ready.len());
    for record in ready {
        let round = rounds.entry(record.rack.clone()).or_default();
        ordered.push((*round, record));
        *round += 1;
    }
    ordered.sort_by_key(|(round, _)| *round);
    ordered.into_iter().map(|(_, record)| record).collect()
}
