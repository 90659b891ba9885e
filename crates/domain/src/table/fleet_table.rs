//! The complete table at one revision.

use {
    super::{
        row_change::{RowChange, TableChange},
        row_fault::{RowFault, TableKind},
        rows::{CentreRow, KeyRow, PoolRow, QueueRow, TeamRow},
    },
    crate::{
        codes::{Refusal, ResultCode},
        collections::FastMap,
        names::{CentreName, KeyDigest, PoolName, QueueName, TeamName},
    },
    serde::{Deserialize, Serialize},
    std::hash::Hash,
};

/// The operators' table at one revision. Revisions increase monotonically.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetTable {
    /// The revision; 0 for the empty table.
    pub revision: u64,
    /// Data centres.
    pub centres: FastMap<CentreName, CentreRow>,
    /// Pools.
    pub pools: FastMap<PoolName, PoolRow>,
    /// Queues.
    pub queues: FastMap<QueueName, QueueRow>,
    /// Teams.
    pub teams: FastMap<TeamName, TeamRow>,
    /// Keys.
    pub keys: FastMap<KeyDigest, KeyRow>,
}

impl FleetTable {
    /// Returns the table with the next change applied.
    ///
    /// # Errors
    ///
    /// `RevisionOutdated` if the change is not for the next revision, `DeclarationFaulty`
    /// if the resulting table is invalid.
    pub fn with_change(&self, change: &TableChange) -> Result<Self, Refusal> {
        if change.revision != self.revision + 1 {
            let detail = format!(
                "revision {} does not follow {}",
                change.revision, self.revision
            );
            return Err(Refusal::not_run(ResultCode::RevisionOutdated, detail));
        }
        let mut table = self.clone();
        for row in &change.rows {
            table.apply_row(row.clone());
        }
        table.revision = change.revision;
        match table.validate().first() {
            None => Ok(table),
            Some(fault) => Err(Refusal::not_run(
                ResultCode::DeclarationFaulty,
                fault.to_string(),
            )),
        }
    }

    /// Inserts, replaces or removes one row without validating the table.
    pub fn apply_row(&mut self, change: RowChange) {
        match change {
            RowChange::Centre(name, row) => set_row(&mut self.centres, name, row),
            RowChange::Pool(name, row) => set_row(&mut self.pools, name, row),
            RowChange::Queue(name, row) => set_row(&mut self.queues, name, row),
            RowChange::Team(name, row) => set_row(&mut self.teams, name, row),
            RowChange::Key(digest, row) => set_row(&mut self.keys, digest, row),
        }
    }

    /// Returns the changes that turn this table into `wanted`, in a stable order.
    pub fn diff_to(&self, wanted: &Self) -> Vec<RowChange> {
        let mut changes = Vec::new();
        changes.extend(changed_rows(
            &self.centres,
            &wanted.centres,
            RowChange::Centre,
        ));
        changes.extend(changed_rows(&self.pools, &wanted.pools, RowChange::Pool));
        changes.extend(changed_rows(&self.queues, &wanted.queues, RowChange::Queue));
        changes.extend(changed_rows(&self.teams, &wanted.teams, RowChange::Team));
        changes.extend(changed_rows(&self.keys, &wanted.keys, RowChange::Key));
        changes
    }

    /// Returns all faults of the table, in a stable order.
    pub fn validate(&self) -> Vec<RowFault> {
        let mut faults = Vec::new();
        for pool in self.pools.values() {
            faults.extend(validate_pool(pool));
        }
        for queue in self.queues.values() {
            faults.extend(self.validate_queue(queue));
        }
        for team in self.teams.values() {
            faults.extend(validate_team(team));
        }
        for key in self
            .keys
            .values()
            .filter(|key| !self.teams.contains_key(&key.team))
        {
            let problem = format!(
                "team '{}' is not in the table; add it or drop the key",
                key.team
            );
            faults.push(RowFault::new(
                TableKind::Keys,
                key.digest.as_str(),
                "team",
                problem,
            ));
        }
        faults.sort_by(|a, b| {
            (a.table as u8, &a.row, &a.column).cmp(&(b.table as u8, &b.row, &b.column))
        });
        faults
    }

    fn validate_queue(&self, queue: &QueueRow) -> Vec<RowFault> {
        let mut faults = Vec::new();
        let row = queue.name.as_str();
        if !self.pools.contains_key(&queue.pool) {
            let problem = format!(
                "pool '{}' is not in the table; add it or name another",
                queue.pool
            );
            faults.push(RowFault::new(TableKind::Queues, row, "pool", problem));
        }
        if let Some(problem) = self.validate_spill(queue) {
            faults.push(RowFault::new(TableKind::Queues, row, "spill", problem));
        }
        if queue.max_waiting == 0 {
            let problem = "a queue that holds nothing serves nobody; give at least 1";
            faults.push(RowFault::new(
                TableKind::Queues,
                row,
                "max_waiting",
                problem,
            ));
        }
        if queue.max_wait_ms == 0 {
            let problem = "work without patience is always refused; give milliseconds";
            faults.push(RowFault::new(
                TableKind::Queues,
                row,
                "patience_ms",
                problem,
            ));
        }
        faults
    }

    fn validate_spill(&self, queue: &QueueRow) -> Option<String> {
        let name = queue.spill.as_ref()?;
        if *name == queue.pool {
            return Some("the queue's own pool is no pool to spill to; name another".to_owned());
        }
        let Some(pool) = self.pools.get(name) else {
            return Some(format!(
                "pool '{name}' is not in the table; add it or name another"
            ));
        };
        let own = self.pools.get(&queue.pool)?;
        (own.kind != pool.kind).then(|| {
            format!(
                "pool '{name}' has {:?}s; name one of {:?}s",
                pool.kind, own.kind
            )
        })
    }

    /// Returns the team that a key was granted to.
    ///
    /// # Errors
    ///
    /// `KeyUnknown` if the key is not in the table.
    pub fn team_of(&self, key: &KeyDigest) -> Result<&TeamRow, Refusal> {
        let unknown = || {
            Refusal::not_run(
                ResultCode::KeyUnknown,
                "ask an operator for a key that is in force",
            )
        };
        let row = self.keys.get(key).ok_or_else(unknown)?;
        self.teams.get(&row.team).ok_or_else(unknown)
    }

    /// Returns the queue with this name.
    ///
    /// # Errors
    ///
    /// `UnknownQueue` if the table has none.
    pub fn queue(&self, name: &QueueName) -> Result<&QueueRow, Refusal> {
        let unknown = || {
            Refusal::not_run(
                ResultCode::UnknownQueue,
                format!("no queue '{name}' in the table"),
            )
        };
        self.queues.get(name).ok_or_else(unknown)
    }

    /// Returns the pool with this name.
    ///
    /// # Errors
    ///
    /// `UnknownPool` if the table has none.
    pub fn pool(&self, name: &PoolName) -> Result<&PoolRow, Refusal> {
        let unknown = || {
            Refusal::not_run(
                ResultCode::UnknownPool,
                format!("no pool '{name}' in the table"),
            )
        };
        self.pools.get(name).ok_or_else(unknown)
    }
}

fn set_row<K: Eq + Hash, V>(rows: &mut FastMap<K, V>, name: K, row: Option<V>) {
    match row {
        Some(row) => {
            rows.insert(name, row);
        }
        None => {
            rows.remove(&name);
        }
    }
}

fn changed_rows<K: Eq + Hash + Ord + Clone, V: PartialEq + Clone>(
    old: &FastMap<K, V>,
    new: &FastMap<K, V>,
    change: fn(K, Option<V>) -> RowChange,
) -> Vec<RowChange> {
    let mut names: Vec<&K> = old.keys().chain(new.keys()).collect();
    names.sort();
    names.dedup();
    names
        .into_iter()
        .filter(|name| old.get(name) != new.get(name))
        .map(|name| change(name.clone(), new.get(name).cloned()))
        .collect()
}

fn validate_pool(pool: &PoolRow) -> Vec<RowFault> {
    let mut faults = Vec::new();
    let row = pool.name.as_str();
    if pool.size == 0 {
        faults.push(RowFault::new(
            TableKind::Pools,
            row,
            "size",
            "a pool of nought serves nobody; give at least 1",
        ));
    }
    if pool.max_out >= pool.size.max(1) {
        let problem = format!(
            "a budget of {} would empty a pool of {}; lower it",
            pool.max_out, pool.size
        );
        faults.push(RowFault::new(TableKind::Pools, row, "max_out", problem));
    }
    faults
}

fn validate_team(team: &TeamRow) -> Vec<RowFault> {
    let mut faults = Vec::new();
    let row = team.name.as_str();
    if team.weight == 0 {
        faults.push(RowFault::new(
            TableKind::Teams,
            row,
            "weight",
            "a share of nought never runs; give at least 1",
        ));
    }
    if team.ceiling == 0 {
        faults.push(RowFault::new(
            TableKind::Teams,
            row,
            "ceiling",
            "a ceiling of nought never runs; give at least 1",
        ));
    }
    faults
}
