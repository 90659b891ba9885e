//! Weighted max-min split of a capacity among demands.

/// One of the demands that share a capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WeightedDemand {
    /// Its share relative to the other demands.
    pub weight: f64,
    /// The most that it can use.
    pub amount: f64,
}

/// Splits `capacity` by weighted max-min fairness (progressive filling): no demand gets
/// more than its amount, and the rest goes to the others by weight. The grants are in
/// the order of the demands and sum to at most the capacity.
pub fn fair_split(capacity: f64, demands: &[WeightedDemand]) -> Vec<f64> {
    let mut grants = vec![0.0; demands.len()];
    let mut unsatisfied: Vec<usize> = (0..demands.len())
        .filter(|index| demands[*index].amount > 0.0)
        .collect();
    let mut remaining = capacity.max(0.0);
    while !unsatisfied.is_empty() && remaining > 0.0 {
        let weights: f64 = unsatisfied.iter().map(|index| demands[*index].weight).sum();
        let per_weight = remaining / weights;
        let satisfied =
            |index: &usize| demands[*index].amount <= per_weight * demands[*index].weight;
        if !unsatisfied.iter().any(satisfied) {
            for index in &unsatisfied {
                grants[*index] = per_weight * demands[*index].weight;
            }
            break;
        }
        for index in unsatisfied.iter().copied().filter(|index| satisfied(index)) {
            grants[index] = demands[index].amount;
            remaining -= demands[index].amount;
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
