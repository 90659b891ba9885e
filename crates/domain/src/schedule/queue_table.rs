//! One version of the operators' queues, pools and teams.

use {
    super::job_plan::Resources,
    crate::{
        collections::FastMap,
        names::{KeyDigest, PoolName, QueueName, TeamName},
    },
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::sync::Arc,
};

/// One queue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct QueueRow {
    /// Its name.
    pub name: QueueName,
    /// The host name that callers use.
    pub host: Arc<str>,
    /// The path prefix that callers use.
    pub prefix: Arc<str>,
    /// The pool whose workers run its tasks.
    pub pool: PoolName,
    /// Priority of its jobs; 0 is the highest.
    pub priority: u32,
    /// Failed runs of one task after which its job fails.
    pub attempts: u32,
    /// Objective for a job's completion time, as a multiple of its critical path.
    #[serde(rename = "stretch")]
    pub objective_factor: f64,
    /// Constant added to the objective, in milliseconds.
    pub target_latency_ms: u64,
    /// Whether jobs are accepted without a team's key.
    pub public: bool,
    /// Settings of the adviser that decides which workers may run a step; `None` if there is
    /// none.
    pub advice: Option<AdviceSettings>,
}

/// Settings of the adviser for a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct AdviceSettings {
    /// Validity of its tickets, in milliseconds.
    pub valid_ms: u64,
}

/// One pool of workers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct PoolRow {
    /// Its name.
    pub name: PoolName,
    /// Whether it is the spare pool, whose instances are powered off until they move to
    /// another one.
    pub spare: bool,
    /// Whether its workers refuse tasks that exceed their capacity.
    #[serde(rename = "guards")]
    pub enforces_capacity: bool,
}

/// One team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TeamRow {
    /// Its name.
    pub name: TeamName,
    /// Its share when the fleet is full, in jobs per second.
    pub weight: f64,
    /// Resources that its runs may use together; a zero field means unlimited.
    pub ceiling: Resources,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
}

/// Limits on callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RequestLimits {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
}

/// Why a request matches no row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum RouteFault {
    /// No queue has this host and prefix.
    #[snafu(display("no queue has this host and path"))]
    NoQueue,
    /// The queue needs a key, and the request has none of any team.
    #[snafu(display("the queue needs a team's key"))]
    NoKey,
}

/// One version of the operators' table.
#[derive(Debug, Clone, Default)]
pub struct QueueTable {
    /// The version.
    pub version: u64,
    /// The queues, longest prefix first.
    pub queues: Vec<Arc<QueueRow>>,
    /// The pools.
    pub pools: FastMap<PoolName, PoolRow>,
    /// The teams.
    pub teams: FastMap<TeamName, Arc<TeamRow>>,
    keys: FastMap<KeyDigest, TeamName>,
    /// Limits on callers' requests.
    pub limits: Option<RequestLimits>,
}

impl QueueTable {
    /// Creates a version of the table from its rows.
    pub fn new(
        version: u64,
        mut queues: Vec<QueueRow>,
        pools: Vec<PoolRow>,
        teams: Vec<TeamRow>,
        limits: Option<RequestLimits>,
    ) -> Self {
        queues.sort_by_key(|row| std::cmp::Reverse(row.prefix.len()));
        let keys = teams
            .iter()
            .flat_map(|team| team.keys.iter().map(|key| (key.clone(), team.name.clone())))
            .collect();
        Self {
            version,
            queues: queues.into_iter().map(Arc::new).collect(),
            pools: pools
                .into_iter()
                .map(|row| (row.name.clone(), row))
                .collect(),
            teams: teams
                .into_iter()
                .map(|row| (row.name.clone(), Arc::new(row)))
                .collect(),
            keys,
            limits,
        }
    }

    /// Returns the queue for a host and path, by the longest prefix.
    ///
    /// # Errors
    ///
    /// `NoQueue` if none matches.
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<QueueRow>, RouteFault> {
        self.queues
            .iter()
            .find(|row| &*row.host == host && path.starts_with(&*row.prefix))
            .ok_or(RouteFault::NoQueue)
    }

    /// Returns the queue with this name.
    pub fn queue(&self, name: &QueueName) -> Option<&Arc<QueueRow>> {
        self.queues.iter().find(|row| row.name == *name)
    }

    /// Returns the team that a key belongs to; `None` on a public queue without one.
    ///
    /// # Errors
    ///
    /// `NoKey` if the queue is not public and there is no key, or one that belongs to no team.
    pub fn admit(
        &self,
        queue: &QueueRow,
        key: Option<&KeyDigest>,
    ) -> Result<Option<TeamName>, RouteFault> {
        match key.and_then(|key| self.keys.get(key)) {
            Some(team) => Ok(Some(team.clone())),
            None if queue.public => Ok(None),
            None => Err(RouteFault::NoKey),
        }
    }
}
