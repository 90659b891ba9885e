//! Weighted max-min split of a capacity among claims.

/// One claim on a capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SplitClaim {
    /// Its share relative to the other claims.
    pub weight: f64,
    /// The maximum it can use.
    pub demand: f64,
}

/// Splits `capacity` by weighted max-min fairness (progressive filling): no claim gets
/// more than its demand, and the rest goes to the others by weight. The grants are in
/// the order of the claims and sum to at most the capacity.
pub fn fair_split(capacity: f64, claims: &[SplitClaim]) -> Vec<f64> {
    let mut grants = vec![0.0; claims.len()];
    let mut unsatisfied: Vec<usize> = (0..claims.len())
        .filter(|index| claims[*index].demand > 0.0)
        .collect();
    let mut remaining = capacity.max(0.0);
    while !unsatisfied.is_empty() && remaining > 0.0 {
        let weights: f64 = unsatisfied.iter().map(|index| claims[*index].weight).sum();
        let per_weight = remaining / weights;
        let satisfied = |index: &usize| claims[*index].demand <= per_weight * claims[*index].weight;
        if !unsatisfied.iter().any(satisfied) {
            for index in &unsatisfied {
                grants[*index] = per_weight * claims[*index].weight;
            }
            break;
        }
        for index in unsatisfied.iter().copied().filter(|index| satisfied(index)) {
            grants[index] = claims[index].demand;
            remaining -= claims[index].demand;
        }
        unsatisfied.retain(|index| !satisfied(index));
    }
    grants
}

/// Rounds grants to integers by the largest-remainder method, which preserves their
/// rounded sum.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "grants are small and not negative"
)]
pub fn round_split(grants: &[f64]) -> Vec<u32> {
    let mut rounded: Vec<u32> = grants.iter().map(|grant| grant.floor() as u32).collect();
    let total = grants.iter().sum::<f64>().round() as u32;
    let mut order: Vec<usize> = (0..grants.len()).collect();
    order.sort_by(|a, b| {
        grants[*b]
            .fract()
            .total_cmp(&grants[*a].fract())
            .then(a.cmp(b))
    });
    let missing = total.saturating_sub(rounded.iter().sum());
    for index in order.into_iter().take(missing as usize) {
        rounded[index] += 1;
    }
    rounded
}
