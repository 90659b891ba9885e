//! An instance: the one truth of its pool and of whether it takes work.

use {
    crate::{
        codes::{Refusal, ResultCode},
        names::{CentreName, InstanceName, PoolName, RackName},
        table::TargetKind,
    },
    serde::{Deserialize, Serialize},
};

/// Whether an instance takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceState {
    /// It takes work.
    InService,
    /// It takes no new work and finishes what it has.
    Draining,
    /// It is stopped for maintenance.
    Stopped,
    /// It fails what it is given and is kept out of use.
    Excluded,
}

/// An instance as recorded in the store. A move is one compare-and-swap of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceRecord {
    /// The instance.
    pub name: InstanceName,
    /// What it is.
    pub kind: TargetKind,
    /// The one pool it belongs to.
    pub pool: PoolName,
    /// Its data centre.
    pub centre: CentreName,
    /// Its rack.
    pub rack: RackName,
    /// Host and port of its HTTP front.
    pub address: String,
    /// Whether it takes work.
    pub state: ServiceState,
    /// How often the platform had started it when it was stopped for maintenance.
    #[serde(default, rename = "boots_at_stop")]
    pub boot_count_at_stop: u32,
    /// How often it was maintained.
    #[serde(default)]
    pub maintained: u32,
}

impl InstanceRecord {
    /// Marks it as taking no new work.
    ///
    /// # Errors
    ///
    /// `InstanceBusy` if it is out of service already.
    pub fn begin_drain(&mut self) -> Result<(), Refusal> {
        match self.state {
            ServiceState::InService | ServiceState::Excluded => {
                self.state = ServiceState::Draining;
                Ok(())
            }
            ServiceState::Draining | ServiceState::Stopped => Err(self.busy()),
        }
    }

    /// Notes that nothing runs on it and that it stops now, having been started
    /// `boots` times so far.
    ///
    /// # Errors
    ///
    /// `InstanceBusy` unless it was draining.
    pub fn stop(&mut self, boot_count: u32) -> Result<(), Refusal> {
        if self.state != ServiceState::Draining {
            return Err(self.busy());
        }
        self.boot_count_at_stop = boot_count;
        self.state = ServiceState::Stopped;
        Ok(())
    }

    /// Puts it back into service, counting the maintenance if it was stopped.
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
    /// `InstanceBusy` unless it is draining: an instance in service may have work
    /// of its pool's queues.
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
