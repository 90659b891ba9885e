//! Seeded arrival plans, with demand peaks that rotate over the queues.

use {
    super::caller_client::CallerRequest,
    crate::deployment::{DeploymentShape, ShapeTeam},
    dotterelshore_domain::table::TargetKind,
    dotterelshore_standins::targets::{ResponseMode, TargetWork},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::time::Duration,
};

/// Ratio of a queue's peak demand to its mean demand.
const PEAK_FACTOR: f64 = 5.0;
/// Ratio of a queue's demand between peaks to its mean demand.
const TROUGH_FACTOR: f64 = 1.0 / 20.0;

/// A request and its intended send time.
#[derive(Debug, Clone)]
pub struct PlannedRequest {
    /// Intended send time, from the start of the run.
    pub at: Duration,
    /// The request to send.
    pub request: CallerRequest,
}

/// Parameters of the arrivals in a load run.
#[derive(Debug, Clone)]
pub struct ArrivalPlan {
    /// Seed of the random generator.
    pub seed: u64,
    /// Time during which requests arrive.
    pub duration: Duration,
    /// Time from the start of the run that is excluded from shares and goodput.
    pub warm_up: Duration,
    /// Mean arrival rate over all queues, in requests per second.
    pub rate: f64,
    /// Mean run time of a request.
    pub mean_work_duration: Duration,
    /// Whether the queues peak one after another; otherwise their demand is constant.
    pub rotating_peaks: bool,
    /// Duration of each peak.
    pub peak_duration: Duration,
    /// Fraction of the requests that are non-idempotent.
    pub non_idempotent_fraction: f64,
    /// Fraction of the requests whose target responds with a fault, each kind equally likely.
    pub fault_fraction: f64,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Whether all teams send equally many requests; otherwise in proportion to their weights.
    ///
    /// With equal demand of several times the capacity, every team asks for more than its share, so
    /// that the results show the shares.
    pub equal_team_demand: bool,
    /// Whether a caller resends a request to another entry if the outcome is unknown.
    pub resubmit: bool,
    /// Queues that receive requests; empty means all.
    pub queues: Vec<String>,
}

impl Default for ArrivalPlan {
    fn default() -> Self {
        Self {
            seed: 1,
            duration: Duration::from_secs(5),
            warm_up: Duration::ZERO,
            rate: 200.0,
            mean_work_duration: Duration::from_millis(20),
            rotating_peaks: false,
            peak_duration: Duration::from_secs(2),
            non_idempotent_fraction: 0.3,
            fault_fraction: 0.0,
            timeout: Duration::from_secs(7),
            equal_team_demand: false,
            resubmit: false,
            queues: Vec::new(),
        }
    }
}

impl ArrivalPlan {
    /// Draws all requests of the run, sorted by send time.
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
        let highest = if self.rotating_peaks {
            mean * PEAK_FACTOR
        } else {
            mean
        };
        let mut at = Duration::ZERO;
        loop {
            at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / highest);
            if at >= self.duration {
                return;
            }
            // Thinning: arrivals are drawn at the highest rate and kept with the probability of the
            // current rate over the highest.
            if rng.random::<f64>() * highest < mean * self.demand_factor(at, number, queues) {
                let request = self.draw_request(shape, queue, rng);
                planned.push(PlannedRequest { at, request });
            }
        }
    }

    /// Returns the ratio of a queue's demand at a time to its mean demand.
    fn demand_factor(&self, at: Duration, number: usize, queues: usize) -> f64 {
        if !self.rotating_peaks {
            return 1.0;
        }
        let interval = at.as_millis() / self.peak_duration.as_millis().max(1);
        if interval % (queues as u128) == number as u128 {
            PEAK_FACTOR
        } else {
            TROUGH_FACTOR
        }
    }

    fn draw_request(
        &self,
        shape: &DeploymentShape,
        queue: &str,
        rng: &mut StdRng,
    ) -> CallerRequest {
        let team = self.draw_team(&shape.teams, rng);
        // Run times are exponentially distributed, up to 8 times the mean: most are short, a few
        // are long.
        let factor = -(1.0 - rng.random::<f64>()).ln();
        let work = self.mean_work_duration.mul_f64(factor.min(8.0));
        let id = format!("{:016x}{:08x}", rng.random::<u64>(), self.seed);
        CallerRequest {
            team: team.name.clone(),
            key: team.key(),
            queue: queue.to_owned(),
            idempotent: rng.random::<f64>() >= self.non_idempotent_fraction,
            timeout: self.timeout,
            work: TargetWork {
                work_ms: u64::try_from(work.as_millis()).unwrap_or(u64::MAX),
                response_mode: self.draw_response_mode(rng),
                nonce: format!("{:08x}", rng.random::<u32>()),
            },
            id,
        }
    }

    fn draw_response_mode(&self, rng: &mut StdRng) -> ResponseMode {
        if rng.random::<f64>() >= self.fault_fraction {
            return ResponseMode::Normal;
        }
        let faults = [
            ResponseMode::Fail,
            ResponseMode::Truncate,
            ResponseMode::Mismatched,
            ResponseMode::MismatchedEarly,
        ];
        faults[rng.random_range(0..faults.len())]
    }

    /// Draws a team by weight, or uniformly with `equal_team_demand`.
    fn draw_team<'a>(&self, teams: &'a [ShapeTeam], rng: &mut StdRng) -> &'a ShapeTeam {
        let weight = |team: &ShapeTeam| {
            if self.equal_team_demand {
                1
            } else {
                team.weight
            }
        };
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
