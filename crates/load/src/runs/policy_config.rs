//! Policies to compare: the full policy of the deployment, and baselines that each simplify one
//! decision.

use {
    crate::deployment::DeploymentShape,
    dotterelshore_domain::wave::{WaveOrder, WavePlan},
};

/// A policy: flags of the entries and the plan of the waves.
#[derive(Debug, Clone)]
pub struct PolicyConfig {
    /// Policy name in the report.
    pub name: &'static str,
    /// Command-line flags of every entry.
    pub entry_flags: &'static [&'static str],
    /// Plan of the waves.
    pub plan: WavePlan,
}

/// The measure that a deployment optimises for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeploymentPriority {
    /// Roll-out time and accuracy of the shares.
    RollOut,
    /// Cost of the buffer and number of moves.
    Buffer,
}

/// Returns a deployment's priority: Karatula's is roll-out time, Haddad's is the buffer.
fn priority_of(shape: &DeploymentShape) -> DeploymentPriority {
    if shape.region == "delta-north" {
        DeploymentPriority::Buffer
    } else {
        DeploymentPriority::RollOut
    }
}

/// Returns the full policy of the deployment, then the baselines.
pub fn policy_configs(shape: &DeploymentShape) -> Vec<PolicyConfig> {
    let plan = match priority_of(shape) {
        DeploymentPriority::RollOut => WavePlan {
            order: WaveOrder::RackTogether,
            buffer: 0,
        },
        DeploymentPriority::Buffer => WavePlan {
            order: WaveOrder::RackSpread,
            buffer: 0,
        },
    };
    let one_at_a_time = WavePlan {
        order: WaveOrder::OneAtATime,
        buffer: 0,
    };
    let baseline = |name, entry_flags| PolicyConfig {
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
        PolicyConfig {
            name: "one at a time",
            entry_flags: &[],
            plan: one_at_a_time,
        },
    ]
}
