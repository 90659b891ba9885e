//! The stored record of a maintenance wave.

use {
    super::wave_plan::WavePlan,
    crate::names::{EntryStamp, InstanceName, PoolName, WaveName},
    serde::{Deserialize, Serialize},
};

/// The status of a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaveStatus {
    /// In progress.
    Running,
    /// Finishes the disruptions in progress and starts no new ones.
    Paused,
    /// Every instance has been maintained.
    Done,
}

/// A maintenance wave over one pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WaveRecord {
    /// Name of the wave.
    pub name: WaveName,
    /// The pool whose instances it maintains.
    pub pool: PoolName,
    /// The order and the failure buffer.
    pub plan: WavePlan,
    /// Its status.
    pub status: WaveStatus,
    /// The entry that runs it.
    pub owner: EntryStamp,
    /// All instances to be maintained.
    pub members: Vec<InstanceName>,
    /// The instances maintained so far.
    pub done: Vec<InstanceName>,
    /// When it was started, in milliseconds since the Unix epoch; informational only.
    pub started_at_ms: u64,
    /// When it was done, in milliseconds since the Unix epoch; informational only.
    pub done_at_ms: Option<u64>,
}

impl WaveRecord {
    /// Marks an instance as maintained, and the wave as done after the last one.
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

    /// Iterates over the instances with pending maintenance.
    pub fn remaining(&self) -> impl Iterator<Item = &InstanceName> {
        self.members
            .iter()
            .filter(|member| !self.done.contains(member))
    }
}
