//! The owner's delegates: which entries carry calls to workers, and the links to them.

use {
    super::leadership::Leadership,
    crate::{
        delegation::{DelegateLink, LinkCalls, LinkEnd, open_link},
        entry_row::{EntryRow, entry_of_key, parse_entry_row},
        node::{SchedulerNode, lock, uptime_ms},
        store::{ENTRY_PREFIX, PrefixUpdate, ResumeMode, follow_prefix},
    },
    dotterelshore_domain::{
        collections::FastMap,
        names::{CentreName, EntryName, WorkerName},
        schedule::DelegateRoster,
    },
    dotterelshore_platform::{KvRow, WatchEvent},
    dotterelshore_wire::log_event,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{sync::Notify, task::JoinSet},
};

/// Longest time between assignments of workers to delegates.
const ASSIGN_PERIOD: Duration = Duration::from_millis(250);

/// A link whose task was not started yet.
#[derive(Debug)]
struct NewLink {
    entry: EntryName,
    address: SocketAddr,
    calls: LinkCalls,
}

#[derive(Debug, Default)]
struct DelegateState {
    roster: DelegateRoster,
    rows: FastMap<EntryName, EntryRow>,
    links: FastMap<EntryName, DelegateLink>,
    new_links: Vec<NewLink>,
}

/// The delegates of an owner.
#[derive(Debug)]
pub(super) struct Delegates {
    state: Mutex<DelegateState>,
    /// Wakes the task that assigns workers and starts links.
    changed: Notify,
}

impl Delegates {
    /// Creates the state of an owner with this many cores.
    pub(super) fn new(owner_cores: f64) -> Self {
        let state = DelegateState {
            roster: DelegateRoster::new(owner_cores),
            ..DelegateState::default()
        };
        Self {
            state: Mutex::new(state),
            changed: Notify::new(),
        }
    }

    /// Returns the link to the delegate of a worker; `None` if the owner calls it itself.
    pub(super) fn link_of(&self, worker: &WorkerName) -> Option<DelegateLink> {
        let state = lock(&self.state);
        let delegate = state.roster.delegate_of(worker)?;
        state.links.get(delegate).cloned()
    }

    /// Assigns the workers of the fleet and creates the links that this needs.
    pub(super) fn assign(&self, fleet: &[(WorkerName, CentreName)]) {
        let mut state = lock(&self.state);
        state.roster.assign(fleet, uptime_ms());
        self.create_links(&mut state);
    }

    /// Assigns new workers of a fleet of this size and creates the links that this needs.
    pub(super) fn assign_new(&self, new: &[(WorkerName, CentreName)], fleet_size: usize) {
        let mut state = lock(&self.state);
        state.roster.assign_new(new, fleet_size, uptime_ms());
        self.create_links(&mut state);
    }

    fn create_links(&self, state: &mut DelegateState) {
        for entry in state.roster.delegates_in_use() {
            let Some(row) = state.rows.get(entry) else {
                continue;
            };
            if state.links.contains_key(entry) {
                continue;
            }
            let (link, calls) = DelegateLink::new(row.knows_ends_polls);
            state.links.insert(entry.clone(), link);
            state.new_links.push(NewLink {
                entry: entry.clone(),
                address: row.address,
                calls,
            });
        }
        if !state.new_links.is_empty() {
            self.changed.notify_one();
        }
    }

    /// Applies rows of entries; `complete` means that other entries are gone.
    fn apply_rows(&self, own_name: &EntryName, rows: &[KvRow], complete: bool) {
        let mut state = lock(&self.state);
        let mut listed = Vec::new();
        for row in rows {
            let Some(name) = entry_of_key(&row.key).filter(|name| name != own_name) else {
                continue;
            };
            let Some(row) = parse_entry_row(row) else {
                continue;
            };
            state.roster.upsert_entry(row.resources(name.clone()));
            state.rows.insert(name.clone(), row);
            listed.push(name);
        }
        if complete {
            let known: Vec<_> = state.rows.keys().cloned().collect();
            for name in known.iter().filter(|name| !listed.contains(name)) {
                state.remove(name);
            }
        }
        self.changed.notify_one();
    }

    fn remove_entry(&self, name: &EntryName) {
        lock(&self.state).remove(name);
        self.changed.notify_one();
    }

    fn take_new_links(&self) -> Vec<NewLink> {
        std::mem::take(&mut lock(&self.state).new_links)
    }

    /// Records that a frame of a delegate arrived.
    fn mark_answering(&self, entry: &EntryName, is_leaving: bool) {
        let mut state = lock(&self.state);
        if is_leaving {
            state.roster.mark_leaving(entry);
            self.changed.notify_one();
        } else {
            state.roster.mark_answering(entry);
        }
    }

    /// Removes a link that ended, so that its workers are assigned elsewhere.
    fn remove_link(&self, entry: &EntryName, end: &LinkEnd) {
        let mut state = lock(&self.state);
        state.links.remove(entry);
        if matches!(end, LinkEnd::Leaving) {
            state.roster.mark_leaving(entry);
        } else {
            state.roster.mark_failed(entry, uptime_ms());
        }
    }
}

impl DelegateState {
    fn remove(&mut self, name: &EntryName) {
        self.roster.remove_entry(name);
        self.rows.remove(name);
    }
}

/// Follows the entries' rows, until aborted.
pub(super) async fn follow_entries(node: Arc<SchedulerNode>, leadership: Arc<Leadership>) {
    let delegates = &leadership.delegates;
    let own_name = &node.settings.name;
    follow_prefix(
        &node,
        ENTRY_PREFIX,
        ResumeMode::CatchUp,
        None,
        |update| match update {
            PrefixUpdate::Snapshot(page) => delegates.apply_rows(own_name, &page.rows, true),
            PrefixUpdate::Change(WatchEvent::Written(row)) => {
                delegates.apply_rows(own_name, &[row], false);
            }
            PrefixUpdate::Change(WatchEvent::Removed { key, .. }) => {
                if let Some(name) = entry_of_key(&key) {
                    delegates.remove_entry(&name);
                }
            }
        },
    )
    .await;
}

/// Assigns workers to delegates and runs the links to them, until aborted.
pub(super) async fn run_delegates(node: Arc<SchedulerNode>, leadership: Arc<Leadership>) {
    let mut interval = node.timer.interval(ASSIGN_PERIOD);
    let mut links = JoinSet::new();
    loop {
        tokio::select! {
            () = interval.tick() => {}
            () = leadership.delegates.changed.notified() => {}
            Some(ended) = links.join_next() => if let Err(error) = ended {
                log_event!(Error, "link-task-failed", error = error);
            },
        }
        leadership.assign_delegates();
        for link in leadership.delegates.take_new_links() {
            let running = run_link(Arc::clone(&node), Arc::clone(&leadership), link);
            links.spawn(leadership.guard_task("delegate-link", running));
        }
    }
}

async fn run_link(node: Arc<SchedulerNode>, leadership: Arc<Leadership>, link: NewLink) {
    let NewLink {
        entry,
        address,
        calls,
    } = link;
    log_event!(Info, "delegate-linked", entry = entry);
    let delegates = &leadership.delegates;
    let end = open_link(&node.metrics.work, address, calls, |is_leaving| {
        delegates.mark_answering(&entry, is_leaving);
    });
    let end = end.await;
    log_event!(Info, "delegate-lost", entry = entry, reason = end);
    delegates.remove_link(&entry, &end);
}
