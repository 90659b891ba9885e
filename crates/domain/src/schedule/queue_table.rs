//! The operators' rows of queues, pools and teams, as one version of them.

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
    /// 0 comes first.
    pub priority: u32,
    /// Failed runs of one task after which its job fails.
    pub attempts: u32,
    /// The objective, as a multiple of the longest chain of work.
    #[serde(rename = "stretch")]
    pub objective_factor: f64,
    /// Added to the objective, in milliseconds.
    pub target_latency_ms: u64,
    /// Whether work is taken without a team's key.
    pub public: bool,
    /// The terms of the adviser, where only it knows which workers may run a step.
    pub advice: Option<AdviceSettings>,
}

/// How the adviser answers for a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct AdviceSettings {
    /// How long its tickets are valid, in milliseconds.
    pub valid_ms: u64,
}

/// One pool of workers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct PoolRow {
    /// Its name.
    pub name: PoolName,
    /// Whether its instances are switched off and wait to be moved to other pools.
    pub spare: bool,
    /// Whether its workers refuse what does not fit.
    #[serde(rename = "guards")]
    pub enforces_capacity: bool,
}

/// One team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TeamRow {
    /// Its name.
    pub name: TeamName,
    /// Its share when the fleet is full.
    pub weight: f64,
    /// Most that it may have running; a zero field is no limit.
    pub ceiling: Resources,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
}

/// Limits of the callers' front.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RequestLimits {
    /// Largest body, in bytes.
    pub body_bytes: usize,
}

/// Why a call matches no row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum RouteFault {
    /// No queue has this host and prefix.
    #[snafu(display("no queue has this host and path"))]
    NoQueue,
    /// The queue needs a key, and none of any team was shown.
    #[snafu(display("the queue needs a team's key"))]
    NoKey,
}

/// One version of the operators' rows.
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
    /// Limits of the front.
    pub limits: Option<RequestLimits>,
}

impl QueueTable {
    /// Puts rows together as one version.
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

    /// The queue for a host and path, by the longest prefix.
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

    /// A queue by its name.
    pub fn queue(&self, name: &QueueName) -> Option<&Arc<QueueRow>> {
        self.queues.iter().find(|row| row.name == *name)
    }

    /// The team that a key admits to a queue; nothing on a public queue without one.
    ///
    /// # Errors
    ///
    /// `NoKey` where a key is needed and none of any team is shown.
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
