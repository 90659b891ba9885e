//! Weighted max-min split of a capacity among claims.

/// One claim on a capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SplitClaim {
    /// Its share against the other claims'.
    pub weight: f64,
    /// The most it can use.
    pub demand: f64,
}

/// Splits `capacity` so that no claim gets more than it can use, and what is left
/// goes to the others by weight (progressive filling). The grants are in the order
/// of the claims and sum to at most the capacity.
pub fn fair_split(capacity: f64, claims: &[SplitClaim]) -> Vec<f64> {
    let mut grants = vec![0.0; claims.len()];
    let mut open: Vec<usize> = (0..claims.len())
        .filter(|index| claims[*index].demand > 0.0)
        .collect();
    let mut left = capacity.max(0.0);
    while !open.is_empty() && left > 0.0 {
        let weights: f64 = open.iter().map(|index| claims[*index].weight).sum();
        let fill = left / weights;
        let sated = |index: &usize| claims[*index].demand <= fill * claims[*index].weight;
        if !open.iter().any(sated) {
            for index in &open {
                grants[*index] = fill * claims[*index].weight;
            }
            break;
        }
        for index in open.iter().copied().filter(|index| sated(index)) {
            grants[index] = claims[index].demand;
            left -= claims[index].demand;
        }
        open.retain(|index| !sated(index));
    }
    grants
}

/// Rounds grants to whole numbers by largest remainder, keeping their rounded sum.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "grants are small and not negative"
)]
pub fn round_split(grants: &[f64]) -> Vec<u32> {
    let mut whole: Vec<u32> = grants.iter().map(|grant| grant.floor() as u32).collect();
    let total = grants.iter().sum::<f64>().round() as u32;
    let mut order: Vec<usize> = (0..grants.len()).collect();
    order.sort_by(|a, b| {
        grants[*b]
            .fract()
            .total_cmp(&grants[*a].fract())
            .then(a.cmp(b))
    });
    let missing = total.saturating_sub(whole.iter().sum());
    for index in order.into_iter().take(missing as usize) {
        whole[index] += 1;
    }
    whole
}
