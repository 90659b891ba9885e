//! The wait queue of one pool in one entry.

use {
    crate::{
        codes::{Refusal, ResultCode},
        collections::FastMap,
        names::TeamName,
        table::WorkClass,
    },
    std::collections::VecDeque,
};

/// After this many urgent items in a row, one batch item is dequeued, so that batch work
/// does not starve.
const URGENT_ITEMS_PER_BATCH_ITEM: u32 = 7;

/// The order in which teams are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueDiscipline {
    /// Weighted fair queueing: the team with the least work done for its weight first.
    WeightedFair,
    /// First come, first served over all teams, as a baseline.
    FirstCome,
}

/// A work item in a [`WaitQueue`].
#[derive(Debug)]
pub struct QueuedItem<T> {
    /// Sequence number; increases with each arrival.
    pub number: u64,
    /// The team on whose behalf the work runs.
    pub team: TeamName,
    /// Its priority class.
    pub class: WorkClass,
    /// The caller's value that wakes the waiting task.
    pub waiter: T,
}

#[derive(Debug)]
struct TeamQueue<T> {
    urgent: VecDeque<QueuedItem<T>>,
    batch: VecDeque<QueuedItem<T>>,
    weight: f64,
    finish_tag: f64,
    mean_cost: f64,
}

/// The wait queue of one pool in one entry, with a limit for each team and in total.
///
/// A dequeued item is charged the team's mean cost so far; the difference to its
/// actual cost is settled when the run ends.
#[derive(Debug)]
pub struct WaitQueue<T> {
    discipline: QueueDiscipline,
    teams: FastMap<TeamName, TeamQueue<T>>,
    waiting: u32,
    next_number: u64,
    virtual_time: f64,
    urgent_streak: u32,
}

impl<T> WaitQueue<T> {
    /// Creates an empty queue.
    pub fn new(discipline: QueueDiscipline) -> Self {
        Self {
            discipline,
            teams: FastMap::default(),
            waiting: 0,
            next_number: 0,
            virtual_time: 0.0,
            urgent_streak: 0,
        }
    }

    /// Adds an item and returns its sequence number.
    ///
    /// # Errors
    ///
    /// `QueueFull` if `max_waiting` items wait already, `TeamQueueFull` if the team alone
    /// has half of that waiting while other teams wait too.
    pub fn enqueue(
        &mut self,
        team: &TeamName,
        weight: u32,
        class: WorkClass,
        max_waiting: u32,
        waiter: T,
    ) -> Result<u64, Refusal> {
        if self.waiting >= max_waiting {
            let detail = format!("{} requests wait here already", self.waiting);
            return Err(Refusal::not_run(ResultCode::QueueFull, detail));
        }
        let team_waiting = self.waiting_of(team);
        if team_waiting >= max_waiting.div_ceil(2) && team_waiting < self.waiting {
            let detail = format!("team '{team}' has {team_waiting} requests waiting here");
            return Err(Refusal::not_run(ResultCode::TeamQueueFull, detail));
        }
        let number = self.next_number;
        self.next_number += 1;
        let virtual_time = self.virtual_time;
        let queue = self
            .teams
            .entry(team.clone())
            .or_insert_with(TeamQueue::new);
        queue.weight = f64::from(weight.max(1));
        if queue.is_empty() {
            queue.finish_tag = queue.finish_tag.max(virtual_time);
        }
        let item = QueuedItem {
            number,
            team: team.clone(),
            class,
            waiter,
        };
        match class {
            WorkClass::Urgent => queue.urgent.push_back(item),
            WorkClass::Batch => queue.batch.push_back(item),
        }
        self.waiting += 1;
        Ok(number)
    }

    /// Removes an item that was not dequeued; returns whether it was still queued.
    pub fn remove(&mut self, team: &TeamName, number: u64) -> bool {
        let Some(queue) = self.teams.get_mut(team) else {
            return false;
        };
        let before = queue.len();
        queue.urgent.retain(|item| item.number != number);
        queue.batch.retain(|item| item.number != number);
        let removed = queue.len() < before;
        if removed {
            self.waiting -= 1;
        }
        removed
    }

    /// Removes and returns the next item among the teams that `is_eligible` accepts.
    pub fn dequeue(&mut self, is_eligible: impl Fn(&TeamName) -> bool) -> Option<QueuedItem<T>> {
        let batch_first = self.urgent_streak >= URGENT_ITEMS_PER_BATCH_ITEM;
        let classes = if batch_first {
            [WorkClass::Batch, WorkClass::Urgent]
        } else {
            [WorkClass::Urgent, WorkClass::Batch]
        };
        let (class, team) = classes
            .into_iter()
            .find_map(|class| Some((class, self.next_team(class, &is_eligible)?)))?;
        let queue = self.teams.get_mut(&team)?;
        let item = queue.class_queue_mut(class).pop_front()?;
        self.virtual_time = self.virtual_time.max(queue.finish_tag);
        queue.finish_tag += queue.mean_cost / queue.weight;
        self.waiting -= 1;
        self.urgent_streak = if class == WorkClass::Urgent {
            self.urgent_streak + 1
        } else {
            0
        };
        Some(item)
    }

    /// Corrects the team's charge by the actual cost of a run, in slot-seconds.
    pub fn settle_cost(&mut self, team: &TeamName, seconds: f64) {
        /// Weight of the latest run in the exponential moving average.
        const MEAN_GAIN: f64 = 0.1;
        let Some(queue) = self.teams.get_mut(team) else {
            return;
        };
        queue.finish_tag += (seconds - queue.mean_cost) / queue.weight;
        queue.mean_cost += MEAN_GAIN * (seconds - queue.mean_cost);
    }

    /// Returns the number of queued items.
    pub fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Returns the number of the team's queued items.
    pub fn waiting_of(&self, team: &TeamName) -> u32 {
        self.teams
            .get(team)
            .map_or(0, |queue| u32::try_from(queue.len()).unwrap_or(u32::MAX))
    }

    /// Iterates over the teams with queued items and the number of these.
    pub fn waiting_by_team(&self) -> impl Iterator<Item = (&TeamName, u32)> {
        let backlogged = self.teams.iter().filter(|(_, queue)| !queue.is_empty());
        backlogged.map(|(team, queue)| (team, u32::try_from(queue.len()).unwrap_or(u32::MAX)))
    }

    fn next_team(
        &self,
        class: WorkClass,
        is_eligible: impl Fn(&TeamName) -> bool,
    ) -> Option<TeamName> {
        let candidates = self
            .teams
            .iter()
            .filter(|(team, queue)| !queue.class_queue(class).is_empty() && is_eligible(team));
        let front_number = |queue: &TeamQueue<T>| {
            queue
                .class_queue(class)
                .front()
                .map_or(u64::MAX, |item| item.number)
        };
        let chosen = match self.discipline {
            QueueDiscipline::WeightedFair => candidates.min_by(|(_, a), (_, b)| {
                a.finish_tag
                    .total_cmp(&b.finish_tag)
                    .then(front_number(a).cmp(&front_number(b)))
            }),
            QueueDiscipline::FirstCome => candidates.min_by_key(|(_, queue)| front_number(queue)),
        };
        chosen.map(|(team, _)| team.clone())
    }
}

impl<T> TeamQueue<T> {
    /// Cost assumed before a team's first run, in slot-seconds.
    const INITIAL_COST_SECONDS: f64 = 0.05;

    fn new() -> Self {
        Self {
            urgent: VecDeque::new(),
            batch: VecDeque::new(),
            weight: 1.0,
            finish_tag: 0.0,
            mean_cost: Self::INITIAL_COST_SECONDS,
        }
    }

    fn len(&self) -> usize {
        self.urgent.len() + self.batch.len()
    }

    fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.batch.is_empty()
    }

    fn class_queue(&self, class: WorkClass) -> &VecDeque<QueuedItem<T>> {
        match class {
            WorkClass::Urgent => &self.urgent,
            WorkClass::Batch => &self.batch,
        }
    }

    fn class_queue_mut(&mut self, class: WorkClass) -> &mut VecDeque<QueuedItem<T>> {
        match class {
            WorkClass::Urgent => &mut self.urgent,
            WorkClass::Batch => &mut self.batch,
        }
    }
}
