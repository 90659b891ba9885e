//! A wave's record, kept in the store by whoever carries it out.

use {
    super::wave_plan::WavePlan,
    crate::names::{EntryStamp, InstanceName, PoolName, WaveName},
    serde::{Deserialize, Serialize},
};

/// Whether a wave goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaveStatus {
    /// It goes on.
    Running,
    /// It finishes what it has open and starts nothing.
    Paused,
    /// Every instance was maintained.
    Done,
}

/// A maintenance wave through one pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WaveRecord {
    /// The wave.
    pub name: WaveName,
    /// The pool it goes through.
    pub pool: PoolName,
    /// How it is carried out.
    pub plan: WavePlan,
    /// Whether it goes on.
    pub status: WaveStatus,
    /// The entry that carries it out.
    pub owner: EntryStamp,
    /// Every instance it is to maintain.
    pub members: Vec<InstanceName>,
    /// The instances maintained.
    pub done: Vec<InstanceName>,
    /// Milliseconds since the Unix epoch when it was started, for people only.
    pub started_at_ms: u64,
    /// Milliseconds since the Unix epoch when it was done, for people only.
    pub done_at_ms: Option<u64>,
}

impl WaveRecord {
    /// Notes an instance as maintained; the wave is done when the last one is.
    pub fn mark_done(&mut self, instance: &InstanceName, now_ms: u64) {
        if !self.done.contains(instance) {
            self.done.push(instance.clone());
        }
        let all = self.members.iter().all(|member| self.done.contains(member));
        if all && self.status != WaveStatus::Done {
            self.status = WaveStatus::Done;
            self.done_at_ms = Some(now_ms);
        }
    }

    /// The instances still to be maintained.
    pub fn remaining(&self) -> impl Iterator<Item = &InstanceName> {
        self.members
            .iter()
            .filter(|member| !self.done.contains(member))
    }
}
