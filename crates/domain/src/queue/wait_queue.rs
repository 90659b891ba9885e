//! A pool's waiting work in one entry.

use {
    crate::{
        codes::{Refusal, ResultCode},
        collections::FastMap,
        names::TeamName,
        table::WorkClass,
    },
    std::collections::VecDeque,
};

/// After this many urgent picks in a row, waiting batch work goes once.
const URGENT_PICKS_PER_BATCH_PICK: u32 = 7;

/// In which order teams are picked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueDiscipline {
    /// By weighted fair queueing: the team with least work done for its weight first.
    WeightedFair,
    /// First come, first served, over all teams: the baseline.
    FirstCome,
}

/// Somebody waiting: its number, its team, and what the holder needs to wake it.
#[derive(Debug)]
pub struct WaitTicket<T> {
    /// Rises with each arrival.
    pub number: u64,
    /// The team it runs for.
    pub team: TeamName,
    /// Whether it is urgent.
    pub class: WorkClass,
    /// What the holder needs to wake it.
    pub waiter: T,
}

#[derive(Debug)]
struct TeamLine<T> {
    urgent: VecDeque<WaitTicket<T>>,
    batch: VecDeque<WaitTicket<T>>,
    weight: f64,
    finish_tag: f64,
    mean_cost: f64,
}

/// The waiting line of one pool in one entry, bounded for each team and in all.
///
/// Costs are corrected by what really ran: a pick is charged with the team's mean
/// cost so far, and the difference is settled when the run ends.
#[derive(Debug)]
pub struct WaitQueue<T> {
    order: QueueDiscipline,
    teams: FastMap<TeamName, TeamLine<T>>,
    waiting: u32,
    next_number: u64,
    virtual_time: f64,
    urgent_streak: u32,
}

impl<T> WaitQueue<T> {
    /// An empty line.
    pub fn new(order: QueueDiscipline) -> Self {
        Self {
            order,
            teams: FastMap::default(),
            waiting: 0,
            next_number: 0,
            virtual_time: 0.0,
            urgent_streak: 0,
        }
    }

    /// Joins the line and returns the ticket's number.
    ///
    /// # Errors
    ///
    /// `QueueFull` if `most_waiting` wait already, `TeamQueueFull` if the team alone
    /// has half of that waiting while others wait too.
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
        let line = self.teams.entry(team.clone()).or_insert_with(TeamLine::new);
        line.weight = f64::from(weight.max(1));
        if line.is_empty() {
            line.finish_tag = line.finish_tag.max(virtual_time);
        }
        let ticket = WaitTicket {
            number,
            team: team.clone(),
            class,
            waiter,
        };
        match class {
            WorkClass::Urgent => line.urgent.push_back(ticket),
            WorkClass::Batch => line.batch.push_back(ticket),
        }
        self.waiting += 1;
        Ok(number)
    }

    /// Leaves the line without a turn; says whether the ticket still waited.
    pub fn remove(&mut self, team: &TeamName, number: u64) -> bool {
        let Some(line) = self.teams.get_mut(team) else {
            return false;
        };
        let before = line.len();
        line.urgent.retain(|ticket| ticket.number != number);
        line.batch.retain(|ticket| ticket.number != number);
        let left = line.len() < before;
        if left {
            self.waiting -= 1;
        }
        left
    }

    /// Picks who goes next among the teams that `may_go` lets pass.
    pub fn dequeue(&mut self, may_go: impl Fn(&TeamName) -> bool) -> Option<WaitTicket<T>> {
        let batch_due = self.urgent_streak >= URGENT_PICKS_PER_BATCH_PICK;
        let classes = if batch_due {
            [WorkClass::Batch, WorkClass::Urgent]
        } else {
            [WorkClass::Urgent, WorkClass::Batch]
        };
        let (class, team) = classes
            .into_iter()
            .find_map(|class| Some((class, self.next_team(class, &may_go)?)))?;
        let line = self.teams.get_mut(&team)?;
        let ticket = line.queue_mut(class).pop_front()?;
        self.virtual_time = self.virtual_time.max(line.finish_tag);
        line.finish_tag += line.mean_cost / line.weight;
        self.waiting -= 1;
        self.urgent_streak = if class == WorkClass::Urgent {
            self.urgent_streak + 1
        } else {
            0
        };
        Some(ticket)
    }

    /// Settles what a picked run really cost, in seconds of a slot.
    pub fn settle_cost(&mut self, team: &TeamName, seconds: f64) {
        /// Weight of the newest run in the running mean.
        const MEAN_GAIN: f64 = 0.1;
        let Some(line) = self.teams.get_mut(team) else {
            return;
        };
        line.finish_tag += (seconds - line.mean_cost) / line.weight;
        line.mean_cost += MEAN_GAIN * (seconds - line.mean_cost);
    }

    /// How many wait.
    pub fn waiting(&self) -> u32 {
        self.waiting
    }

    /// How many of the team wait.
    pub fn waiting_of(&self, team: &TeamName) -> u32 {
        self.teams
            .get(team)
            .map_or(0, |line| u32::try_from(line.len()).unwrap_or(u32::MAX))
    }

    /// The teams that have somebody waiting, with how many and their weight.
    pub fn waiting_by_team(&self) -> impl Iterator<Item = (&TeamName, u32)> {
        let busy = self.teams.iter().filter(|(_, line)| !line.is_empty());
        busy.map(|(team, line)| (team, u32::try_from(line.len()).unwrap_or(u32::MAX)))
    }

    fn next_team(&self, class: WorkClass, may_go: impl Fn(&TeamName) -> bool) -> Option<TeamName> {
        let busy = self
            .teams
            .iter()
            .filter(|(team, line)| !line.queue(class).is_empty() && may_go(team));
        let first = |line: &TeamLine<T>| {
            line.queue(class)
                .front()
                .map_or(u64::MAX, |ticket| ticket.number)
        };
        let chosen = match self.order {
            QueueDiscipline::WeightedFair => busy.min_by(|(_, a), (_, b)| {
                a.finish_tag
                    .total_cmp(&b.finish_tag)
                    .then(first(a).cmp(&first(b)))
            }),
            QueueDiscipline::FirstCome => busy.min_by_key(|(_, line)| first(line)),
        };
        chosen.map(|(team, _)| team.clone())
    }
}

impl<T> TeamLine<T> {
    /// Cost assumed before anything ran, in seconds of a slot.
    const FIRST_COST_SECONDS: f64 = 0.05;

    fn new() -> Self {
        Self {
            urgent: VecDeque::new(),
            batch: VecDeque::new(),
            weight: 1.0,
            finish_tag: 0.0,
            mean_cost: Self::FIRST_COST_SECONDS,
        }
    }

    fn len(&self) -> usize {
        self.urgent.len() + self.batch.len()
    }

    fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.batch.is_empty()
    }

    fn queue(&self, class: WorkClass) -> &VecDeque<WaitTicket<T>> {
        match class {
            WorkClass::Urgent => &self.urgent,
            WorkClass::Batch => &self.batch,
        }
    }

    fn queue_mut(&mut self, class: WorkClass) -> &mut VecDeque<WaitTicket<T>> {
        match class {
            WorkClass::Urgent => &mut self.urgent,
            WorkClass::Batch => &mut self.batch,
        }
    }
}
