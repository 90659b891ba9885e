//! The chosen policy and the simplest one for each decision, behind the same settings.

use {
    crate::deployment::DeploymentShape,
    dotterelshore_domain::wave::{WaveOrder, WavePlan},
};

/// A policy: flags of every entry, and how waves go.
#[derive(Debug, Clone)]
pub struct PolicyVariant {
    /// Its name in the report.
    pub name: &'static str,
    /// Flags of every entry.
    pub entry_flags: &'static [&'static str],
    /// How waves go.
    pub plan: WavePlan,
}

/// Which of its measures a deployment weighs most.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeploymentWeights {
    /// Roll-out time and closeness to share.
    RollOut,
    /// Buffer cost and moves.
    Buffer,
}

/// Karatula weighs roll-out time, Haddad weighs the buffer.
fn weights_of(shape: &DeploymentShape) -> DeploymentWeights {
    if shape.region == "delta-north" {
        DeploymentWeights::Buffer
    } else {
        DeploymentWeights::RollOut
    }
}

/// The chosen policy first, then the baselines.
pub fn policy_variants(shape: &DeploymentShape) -> Vec<PolicyVariant> {
    let plan = match weights_of(shape) {
        DeploymentWeights::RollOut => WavePlan {
            order: WaveOrder::RackTogether,
            buffer: 0,
        },
        DeploymentWeights::Buffer => WavePlan {
            order: WaveOrder::RackSpread,
            buffer: 0,
        },
    };
    let one = WavePlan {
        order: WaveOrder::OneAtATime,
        buffer: 0,
    };
    let baseline = |name, entry_flags| PolicyVariant {
        name,
        entry_flags,
        plan,
    };
    vec![
        baseline("chosen", &[]),
        baseline("first-come order", &["--line-order", "first-come"]),
        baseline(
            "fixed ceilings",
            &["--permit-split", "fixed", "--forward", "false"],
        ),
        baseline("round robin", &["--target-choice", "round-robin"]),
        baseline("no early refusal", &["--early-refusal", "false"]),
        baseline("no spill", &["--spill", "false"]),
        PolicyVariant {
            name: "one at a time",
            entry_flags: &[],
            plan: one,
        },
    ]
}
