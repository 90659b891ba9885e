//! Composition of a deployment: data centres, entries, pools and teams.

use {
    dotterelshore_domain::{
        names::{CentreName, KeyDigest, NameFault, PoolName, QueueName, TeamName},
        table::{
            CentreRow, FleetTable, KeyRow, PoolRow, QueueRow, RowChange, TargetKind, TeamRow,
            WorkClass,
        },
    },
    std::time::Duration,
};

/// Number of targets in a rack.
pub const RACK_SIZE: usize = 4;

/// A pool, its queue and the number of its targets.
#[derive(Debug, Clone)]
pub struct ShapePool {
    /// Pool name; its queue has the same name.
    pub name: String,
    /// Kind of the pool's targets.
    pub kind: TargetKind,
    /// Number of targets.
    pub size: usize,
    /// Availability budget: the maximum number of unavailable instances.
    pub max_unavailable: u32,
    /// Pool that the queue spills to.
    pub spill: Option<String>,
    /// Work class of the queue.
    pub class: WorkClass,
    /// Maximum wait of work that has no deadline.
    pub max_wait: Duration,
}

/// A team's name, weight and ceiling.
#[derive(Debug, Clone)]
pub struct ShapeTeam {
    /// Team name.
    pub name: String,
    /// Weight that determines the team's share.
    pub weight: u32,
    /// Maximum number of concurrent runs and tasks.
    pub ceiling: u32,
}

impl ShapeTeam {
    /// Returns the key that the deployment grants to the team.
    pub fn key(&self) -> String {
        format!("key-of-{}", self.name)
    }
}

/// Composition of a deployment.
#[derive(Debug, Clone)]
pub struct DeploymentShape {
    /// Region of the data centres.
    pub region: String,
    /// Names of the data centres.
    pub centres: Vec<String>,
    /// Number of entry processes, spread evenly over the data centres.
    pub entries: usize,
    /// Pools.
    pub pools: Vec<ShapePool>,
    /// Teams.
    pub teams: Vec<ShapeTeam>,
}

fn team(name: &str, weight: u32, ceiling: u32) -> ShapeTeam {
    ShapeTeam {
        name: name.to_owned(),
        weight,
        ceiling,
    }
}

/// Returns a service's pool of executors and its pool of workers, with the same size and
/// availability budget.
fn service(name: &str, size: usize, max_unavailable: u32) -> [ShapePool; 2] {
    let executors = ShapePool {
        name: name.to_owned(),
        kind: TargetKind::Executor,
        size,
        max_unavailable,
        spill: None,
        class: WorkClass::Urgent,
        max_wait: Duration::from_secs(7),
    };
    let workers = ShapePool {
        name: format!("{name}-batch"),
        kind: TargetKind::Worker,
        class: WorkClass::Batch,
        max_wait: Duration::from_secs(60),
        ..executors.clone()
    };
    [executors, workers]
}

/// Returns the pools of several services; all but the spare service spill to the spare one's pools.
fn services(names: &[&str], spare: &str, size: usize, max_unavailable: u32) -> Vec<ShapePool> {
    let mut pools: Vec<ShapePool> = names
        .iter()
        .chain([&spare])
        .flat_map(|name| service(name, size, max_unavailable))
        .collect();
    for pool in pools
        .iter_mut()
        .filter(|pool| !pool.name.starts_with(spare))
    {
        let batch = pool.kind == TargetKind::Worker;
        pool.spill = Some(if batch {
            format!("{spare}-batch")
        } else {
            spare.to_owned()
        });
    }
    pools
}

impl DeploymentShape {
    /// A small deployment for tests and demonstrations.
    pub fn small() -> Self {
        Self {
            region: "north".to_owned(),
            centres: vec!["east".to_owned(), "west".to_owned()],
            entries: 3,
            pools: service("proofs", 4, 1).into(),
            teams: vec![
                team("alpha", 3, 24),
                team("beta", 1, 24),
                team("gamma", 1, 6),
            ],
        }
    }

    /// Three data centres, five services, six organisations.
    pub fn karatula() -> Self {
        Self {
            region: "luzon".to_owned(),
            centres: ["pasig", "makati", "caloocan"].map(str::to_owned).into(),
            entries: 9,
            pools: services(
                &["proofdesk", "cutroom", "kernline", "aislemap"],
                "backoffice",
                10,
                3,
            ),
            teams: vec![
                team("cebu", 8, 160),
                team("davao", 6, 160),
                team("manila", 4, 120),
                team("iloilo", 2, 60),
                team("baguio", 1, 30),
                team("vigan", 1, 16),
            ],
        }
    }

    /// Four data centres, five services, six organisations.
    pub fn haddad() -> Self {
        Self {
            region: "delta-north".to_owned(),
            centres: ["tanta", "mansoura", "zagazig", "banha"]
                .map(str::to_owned)
                .into(),
            entries: 9,
            pools: services(
                &["quotes", "tenders", "reserve", "certs"],
                "backoffice",
                10,
                2,
            ),
            teams: vec![
                team("municipal", 8, 160),
                team("contractors", 6, 160),
                team("civil-defence", 4, 120),
                team("harbour", 2, 60),
                team("railway", 1, 30),
                team("schools", 1, 16),
            ],
        }
    }

    /// Returns the data centre of the entry or target with this number.
    pub fn centre_of(&self, number: usize) -> &str {
        &self.centres[number % self.centres.len()]
    }

    /// Returns the rows of the table.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is invalid.
    pub fn rows(&self) -> Result<Vec<RowChange>, NameFault> {
        let mut rows = Vec::new();
        for centre in &self.centres {
            let name = CentreName::try_from(centre.as_str())?;
            rows.push(RowChange::Centre(
                name.clone(),
                Some(CentreRow {
                    name,
                    region: self.region.clone(),
                }),
            ));
        }
        for pool in &self.pools {
            rows.extend(pool_rows(pool)?);
        }
        for team in &self.teams {
            let name = TeamName::try_from(team.name.as_str())?;
            let row = TeamRow {
                name: name.clone(),
                weight: team.weight,
                ceiling: team.ceiling,
            };
            rows.push(RowChange::Team(name.clone(), Some(row)));
            let digest = KeyDigest::of(&team.key());
            rows.push(RowChange::Key(
                digest.clone(),
                Some(KeyRow { digest, team: name }),
            ));
        }
        Ok(rows)
    }

    /// Returns the table with all rows.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is invalid.
    pub fn table(&self) -> Result<FleetTable, NameFault> {
        let mut table = FleetTable::default();
        for row in self.rows()? {
            table.apply_row(row);
        }
        Ok(table)
    }
}

fn pool_rows(pool: &ShapePool) -> Result<[RowChange; 2], NameFault> {
    let name = PoolName::try_from(pool.name.as_str())?;
    let queue = QueueName::try_from(pool.name.as_str())?;
    let size = u32::try_from(pool.size).unwrap_or(u32::MAX);
    let pool_row = PoolRow {
        name: name.clone(),
        kind: pool.kind,
        size,
        max_out: pool.max_unavailable,
    };
    let queue_row = QueueRow {
        name: queue.clone(),
        pool: name.clone(),
        spill: pool.spill.as_deref().map(PoolName::try_from).transpose()?,
        class: pool.class,
        open: false,
        max_waiting: 2000,
        max_wait_ms: u64::try_from(pool.max_wait.as_millis()).unwrap_or(u64::MAX),
    };
    Ok([
        RowChange::Pool(name, Some(pool_row)),
        RowChange::Queue(queue, Some(queue_row)),
    ])
}
