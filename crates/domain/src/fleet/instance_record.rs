//! The authoritative record of an instance: its pool and its service state.

use {
    crate::{
        codes::{Refusal, ResultCode},
        names::{CentreName, InstanceName, PoolName, RackName},
        table::TargetKind,
    },
    serde::{Deserialize, Serialize},
};

/// Whether an instance accepts work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceState {
    /// Accepts work.
    InService,
    /// Accepts no new work and finishes its running work.
    Draining,
    /// Stopped for maintenance.
    Stopped,
    /// Fails the work it is given; kept out of service.
    Excluded,
}

/// An instance as recorded in the store. Moving it to another pool is one
/// compare-and-swap of this record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceRecord {
    /// Name of the instance.
    pub name: InstanceName,
    /// Whether it is an executor or a worker.
    pub kind: TargetKind,
    /// The one pool it belongs to.
    pub pool: PoolName,
    /// Its data centre.
    pub centre: CentreName,
    /// Its rack.
    pub rack: RackName,
    /// Host and port of its HTTP server.
    pub address: String,
    /// Whether it accepts work.
    pub state: ServiceState,
    /// The platform's boot count when the instance was last stopped for maintenance.
    #[serde(default, rename = "boots_at_stop")]
    pub boot_count_at_stop: u32,
    /// Number of completed maintenances.
    #[serde(default)]
    pub maintained: u32,
}

impl InstanceRecord {
    /// Marks it as draining.
    ///
    /// # Errors
    ///
    /// `InstanceBusy` if it is already draining or stopped.
    pub fn begin_drain(&mut self) -> Result<(), Refusal> {
        match self.state {
            ServiceState::InService | ServiceState::Excluded => {
                self.state = ServiceState::Draining;
                Ok(())
            }
            ServiceState::Draining | ServiceState::Stopped => Err(self.busy()),
        }
    }

    /// Marks a draining instance, on which nothing runs any more, as stopped for
    /// maintenance. `boot_count` is the number of times the platform has started it.
    ///
    /// # Errors
    ///
    /// `InstanceBusy` unless it is draining.
    pub fn stop(&mut self, boot_count: u32) -> Result<(), Refusal> {
        if self.state != ServiceState::Draining {
            return Err(self.busy());
        }
        self.boot_count_at_stop = boot_count;
        self.state = ServiceState::Stopped;
        Ok(())
    }

    /// Puts it back into service, and counts a maintenance if it was stopped.
    pub fn resume(&mut self) {
        if self.state == ServiceState::Stopped {
            self.maintained += 1;
        }
        self.state = ServiceState::InService;
    }

    /// Moves a drained instance to another pool.
    ///
    /// # Errors
    ///
    /// `InstanceBusy` unless it is draining: an instance in service may be running work
    /// from its pool's queues.
    pub fn move_to(&mut self, pool: PoolName) -> Result<(), Refusal> {
        if self.state != ServiceState::Draining {
            return Err(self.busy());
        }
        self.pool = pool;
        self.state = ServiceState::InService;
        Ok(())
    }

    fn busy(&self) -> Refusal {
        let detail = format!("instance '{}' is {:?}", self.name, self.state);
        Refusal::not_run(ResultCode::InstanceBusy, detail)
    }
}
