//! The order in which a wave takes instances out.

use {
    crate::{
        collections::FastMap,
        fleet::InstanceRecord,
        names::{InstanceName, RackName},
    },
    serde::{Deserialize, Serialize},
};

/// How a wave chooses what goes next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaveOrder {
    /// Whole racks together as far as the budget allows: the shortest roll-out.
    #[default]
    RackTogether,
    /// Spread over racks, so that a rack that fails during the wave costs least.
    RackSpread,
    /// One instance at a time: the baseline.
    OneAtATime,
}

/// How a wave is to be carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WavePlan {
    /// What goes next.
    pub order: WaveOrder,
    /// Instances of the budget left unused, as a buffer against failures.
    pub buffer: u32,
}

/// What the planner sees of a pool.
#[derive(Debug, Clone)]
pub struct WaveView<'a> {
    /// The instances still to be maintained that could go now.
    pub ready: Vec<&'a InstanceRecord>,
    /// How many instances are out, for any cause.
    pub out: u32,
    /// The pool's availability budget.
    pub max_out: u32,
}

impl WavePlan {
    /// The instances to take out now, never more than the budget less the buffer.
    /// A buffer as large as the budget still lets one go at a time.
    pub fn next(&self, view: &WaveView<'_>) -> Vec<InstanceName> {
        let usable = view
            .max_out
            .saturating_sub(self.buffer)
            .max(1)
            .min(view.max_out);
        let room = match self.order {
            WaveOrder::OneAtATime => u32::from(view.out == 0).min(usable),
            WaveOrder::RackTogether | WaveOrder::RackSpread => usable.saturating_sub(view.out),
        };
        let mut ready = view.ready.clone();
        ready.sort_by(|a, b| (&a.rack, &a.name).cmp(&(&b.rack, &b.name)));
        if self.order == WaveOrder::RackSpread {
            ready = spread(ready);
        }
        ready
            .into_iter()
            .take(room as usize)
            .map(|record| record.name.clone())
            .collect()
    }
}

/// Orders instances so that each rack is visited once before any is visited again.
fn spread(ready: Vec<&InstanceRecord>) -> Vec<&InstanceRecord> {
    let mut visits: FastMap<RackName, u32> = FastMap::default();
    let mut turns: Vec<(u32, &InstanceRecord)> = Vec::with_capacity(ready.len());
    for record in ready {
        let visit = visits.entry(record.rack.clone()).or_default();
        turns.push((*visit, record));
        *visit += 1;
    }
    turns.sort_by_key(|(visit, _)| *visit);
    turns.into_iter().map(|(_, record)| record).collect()
}
