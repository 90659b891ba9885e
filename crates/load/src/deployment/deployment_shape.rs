//! What a deployment is made of.

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

/// Executors, or workers, in a rack.
pub const RACK_SIZE: usize = 4;

/// A pool, its queue, and how many targets it has.
#[derive(Debug, Clone)]
pub struct ShapePool {
    /// The service; its queue has the same name.
    pub name: String,
    /// What its targets are.
    pub kind: TargetKind,
    /// How many targets.
    pub size: usize,
    /// The availability budget.
    pub max_out: u32,
    /// The pool that its queue spills to.
    pub spill: Option<String>,
    /// Whether its queue is urgent.
    pub class: WorkClass,
    /// Longest wait of work that names no deadline.
    pub patience: Duration,
}

/// A team's row.
#[derive(Debug, Clone)]
pub struct ShapeTeam {
    /// The team.
    pub name: String,
    /// Its share.
    pub weight: u32,
    /// Its ceiling.
    pub ceiling: u32,
}

impl ShapeTeam {
    /// The key that the deployment grants the team.
    pub fn key(&self) -> String {
        format!("key-of-{}", self.name)
    }
}

/// What a deployment is made of.
#[derive(Debug, Clone)]
pub struct DeploymentShape {
    /// The region.
    pub region: String,
    /// Data centres.
    pub centres: Vec<String>,
    /// Entry instances, spread over the data centres.
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

/// A service's executors and its guarded workers, each as many as `size`.
fn service(name: &str, size: usize, max_out: u32) -> [ShapePool; 2] {
    let executors = ShapePool {
        name: name.to_owned(),
        kind: TargetKind::Executor,
        size,
        max_out,
        spill: None,
        class: WorkClass::Urgent,
        patience: Duration::from_secs(7),
    };
    let workers = ShapePool {
        name: format!("{name}-batch"),
        kind: TargetKind::Worker,
        class: WorkClass::Batch,
        patience: Duration::from_secs(60),
        ..executors.clone()
    };
    [executors, workers]
}

/// Several services; all but the spare one spill to it.
fn services(names: &[&str], spare: &str, size: usize, max_out: u32) -> Vec<ShapePool> {
    let mut pools: Vec<ShapePool> = names
        .iter()
        .chain([&spare])
        .flat_map(|name| service(name, size, max_out))
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
    /// A few processes: for tests and a first look.
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

    /// The data centre of the entry or target with this number.
    pub fn centre_of(&self, number: usize) -> &str {
        &self.centres[number % self.centres.len()]
    }

    /// The rows of the table.
    ///
    /// # Errors
    ///
    /// A name that is none.
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

    /// The table that the rows make.
    ///
    /// # Errors
    ///
    /// A name that is none.
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
        max_out: pool.max_out,
    };
    let queue_row = QueueRow {
        name: queue.clone(),
        pool: name.clone(),
        spill: pool.spill.as_deref().map(PoolName::try_from).transpose()?,
        class: pool.class,
        open: false,
        max_waiting: 2000,
        max_wait_ms: u64::try_from(pool.patience.as_millis()).unwrap_or(u64::MAX),
    };
    Ok([
        RowChange::Pool(name, Some(pool_row)),
        RowChange::Queue(queue, Some(queue_row)),
    ])
}
