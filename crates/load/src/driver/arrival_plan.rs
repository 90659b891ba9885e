//! Seeded arrivals in the users' shape: queues peak in turn.

use {
    super::caller_link::SentRequest,
    crate::deployment::{DeploymentShape, ShapeTeam},
    dotterelshore_domain::table::TargetKind,
    dotterelshore_standins::targets::{ResponseMode, TargetWork},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::time::Duration,
};

/// A queue's demand at its peak, against its mean.
const PEAK_FACTOR: f64 = 5.0;
/// A queue's demand between peaks, against its mean.
const TROUGH_FACTOR: f64 = 1.0 / 20.0;

/// A request and when it is to be sent.
#[derive(Debug, Clone)]
pub struct PlannedRequest {
    /// When, from the start of the run.
    pub at: Duration,
    /// The request.
    pub request: SentRequest,
}

/// How requests arrive.
#[derive(Debug, Clone)]
pub struct ArrivalPlan {
    /// The seed of everything drawn.
    pub seed: u64,
    /// How long requests arrive.
    pub length: Duration,
    /// From when on work is counted for shares and goodput.
    pub counted_from: Duration,
    /// Requests a second over all queues, in the mean.
    pub rate: f64,
    /// Mean time that a request runs.
    pub mean_work: Duration,
    /// Whether queues peak in turn, or all have the mean.
    pub peaks: bool,
    /// How long each peak lasts.
    pub peak: Duration,
    /// Part of the requests that is non-idempotent.
    pub non_idempotent: f64,
    /// Part of the requests whose answers go wrong, each kind alike.
    pub wrong: f64,
    /// How long a caller waits.
    pub timeout: Duration,
    /// Whether every team asks for more than its part, so that shares can be seen.
    pub even_teams: bool,
    /// Whether a caller who got no answer sends the request again to another entry.
    pub resubmit: bool,
    /// Queues that get requests; none for all.
    pub queues: Vec<String>,
}

impl Default for ArrivalPlan {
    fn default() -> Self {
        Self {
            seed: 1,
            length: Duration::from_secs(5),
            counted_from: Duration::ZERO,
            rate: 200.0,
            mean_work: Duration::from_millis(20),
            peaks: false,
            peak: Duration::from_secs(2),
            non_idempotent: 0.3,
            wrong: 0.0,
            timeout: Duration::from_secs(7),
            even_teams: false,
            resubmit: false,
            queues: Vec::new(),
        }
    }
}

impl ArrivalPlan {
    /// Draws every request of the run, in the order of sending.
    pub fn draw(&self, shape: &DeploymentShape) -> Vec<PlannedRequest> {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let executors = shape
            .pools
            .iter()
            .filter(|pool| pool.kind == TargetKind::Executor);
        let queues: Vec<&str> = executors
            .map(|pool| pool.name.as_str())
            .filter(|name| self.queues.is_empty() || self.queues.iter().any(|queue| queue == name))
            .collect();
        let mut planned = Vec::new();
        for (number, queue) in queues.iter().enumerate() {
            self.draw_queue(shape, queue, number, queues.len(), &mut rng, &mut planned);
        }
        planned.sort_by_key(|planned| planned.at);
        planned
    }

    fn draw_queue(
        &self,
        shape: &DeploymentShape,
        queue: &str,
        number: usize,
        queues: usize,
        rng: &mut StdRng,
        planned: &mut Vec<PlannedRequest>,
    ) {
        let mean = self.rate / f64::from(u32::try_from(queues).unwrap_or(1));
        let highest = if self.peaks { mean * PEAK_FACTOR } else { mean };
        let mut at = Duration::ZERO;
        loop {
            at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / highest);
            if at >= self.length {
                return;
            }
            // Thinning: arrivals are drawn at the highest rate and kept by the present one.
            if rng.random::<f64>() * highest < mean * self.factor(at, number, queues) {
                let request = self.draw_request(shape, queue, rng);
                planned.push(PlannedRequest { at, request });
            }
        }
    }

    /// A queue's demand at a time, against its mean.
    fn factor(&self, at: Duration, number: usize, queues: usize) -> f64 {
        if !self.peaks {
            return 1.0;
        }
        let turn = at.as_millis() / self.peak.as_millis().max(1);
        if turn % (queues as u128) == number as u128 {
            PEAK_FACTOR
        } else {
            TROUGH_FACTOR
        }
    }

    fn draw_request(&self, shape: &DeploymentShape, queue: &str, rng: &mut StdRng) -> SentRequest {
        let team = self.draw_team(&shape.teams, rng);
        // Times are far apart: most are short, a few are long.
        let spread = -(1.0 - rng.random::<f64>()).ln();
        let work = self.mean_work.mul_f64(spread.min(8.0));
        let id = format!("{:016x}{:08x}", rng.random::<u64>(), self.seed);
        SentRequest {
            team: team.name.clone(),
            key: team.key(),
            queue: queue.to_owned(),
            idempotent: rng.random::<f64>() >= self.non_idempotent,
            timeout: self.timeout,
            work: TargetWork {
                work_ms: u64::try_from(work.as_millis()).unwrap_or(u64::MAX),
                response_mode: self.draw_act(rng),
                nonce: format!("{:08x}", rng.random::<u32>()),
            },
            id,
        }
    }

    fn draw_act(&self, rng: &mut StdRng) -> ResponseMode {
        if rng.random::<f64>() >= self.wrong {
            return ResponseMode::Normal;
        }
        let wrong = [
            ResponseMode::Fail,
            ResponseMode::Truncate,
            ResponseMode::Mismatched,
            ResponseMode::MismatchedEarly,
        ];
        wrong[rng.random_range(0..wrong.len())]
    }

    /// A few teams are large: teams ask by their weight, or all alike.
    fn draw_team<'a>(&self, teams: &'a [ShapeTeam], rng: &mut StdRng) -> &'a ShapeTeam {
        let weight = |team: &ShapeTeam| if self.even_teams { 1 } else { team.weight };
        let total: u32 = teams.iter().map(weight).sum();
        let mut drawn = rng.random_range(0..total.max(1));
        for team in teams {
            if drawn < weight(team) {
                return team;
            }
            drawn -= weight(team);
        }
        &teams[0]
    }
}
