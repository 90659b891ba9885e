//! Calls that carry orders for instances to the platform, one task per call.

use {
    super::leadership::Leadership,
    crate::node::{lock, uptime_ms},
    dotterelshore_domain::schedule::{InstanceOrder, InstancePlan},
    dotterelshore_platform::{CloudClient, CloudFault},
    dotterelshore_wire::log_event,
    std::sync::Arc,
    tokio::task::JoinSet,
};

/// An order, its fencing token and the platform's answer.
type AnsweredOrder = (InstanceOrder, u64, Result<(), CloudFault>);

/// Calls that the platform has not answered yet.
#[derive(Debug)]
pub(super) struct InstanceCalls {
    cloud: CloudClient,
    calls: JoinSet<AnsweredOrder>,
}

impl InstanceCalls {
    pub(super) fn new(cloud: CloudClient) -> Self {
        Self {
            cloud,
            calls: JoinSet::new(),
        }
    }

    /// Sends an order, unless authority has ended by the time its task runs.
    pub(super) fn send(&mut self, leadership: &Arc<Leadership>, order: InstanceOrder) {
        let token = leadership.token();
        let cloud = self.cloud.clone();
        let leadership = Arc::clone(leadership);
        self.calls.spawn(async move {
            if !leadership.has_authority() {
                // The process may have been frozen since the order was planned.
                let detail = "authority has ended".to_owned();
                return (order, token, Err(CloudFault::NotExecuted { detail }));
            }
            let answer = match &order {
                InstanceOrder::Move { instance, pool } => {
                    cloud.move_instance(instance, pool, token).await
                }
                InstanceOrder::Maintain { instance, wave } => {
                    cloud.maintain(instance, *wave, token).await
                }
            };
            (order, token, answer)
        });
    }

    /// Returns the next call that was answered or timed out; waits while no call is open.
    pub(super) async fn next_answered(&mut self) -> AnsweredOrder {
        loop {
            match self.calls.join_next().await {
                Some(Ok(answered)) => return answered,
                Some(Err(error)) => log_event!(Error, "instance-call-aborted", error = error),
                None => std::future::pending().await,
            }
        }
    }
}

/// Applies the outcome of a call to the plan and the schedule.
pub(super) fn apply_outcome(
    leadership: &Leadership,
    plan: &mut InstancePlan,
    (order, token, answer): AnsweredOrder,
) {
    let outcome = match &answer {
        Ok(()) => "done".to_owned(),
        Err(fault) => fault.to_string(),
    };
    log_event!(
        Info,
        "instance-ordered",
        order = format!("{order:?}"),
        token = token,
        outcome = outcome
    );
    if answer == Err(CloudFault::Fenced) {
        leadership.mark_fenced(token);
    }
    let outcome_unknown = matches!(answer, Err(CloudFault::OutcomeUnknown { .. }));
    let now_ms = uptime_ms();
    let worker = plan.worker_of(order.instance()).cloned();
    let is_repeated = match &order {
        InstanceOrder::Maintain { instance, wave } => plan.is_repeated(instance, *wave),
        InstanceOrder::Move { .. } => false,
    };
    let mut keeps_cordon = answer.is_ok() || outcome_unknown;
    match &order {
        InstanceOrder::Move { instance, pool } => match &answer {
            Ok(()) => plan.confirm_move(instance, pool, now_ms),
            Err(CloudFault::OutcomeUnknown { .. }) => plan.mark_move_unconfirmed(instance, now_ms),
            Err(_) => plan.revert_move(instance),
        },
        InstanceOrder::Maintain { instance, wave } => {
            if answer.is_ok() || outcome_unknown {
                plan.record_maintenance_start(instance, *wave, answer.is_ok(), now_ms);
            } else {
                let not_found = matches!(answer, Err(CloudFault::InstanceNotFound));
                keeps_cordon = plan.record_maintenance_refusal(instance, *wave, not_found);
            }
        }
    }
    if let Some(worker) = worker {
        let mut schedule = lock(&leadership.schedule);
        if answer.is_ok() && is_repeated {
            schedule.confirm_repeated_disruption(&worker, now_ms);
        } else if answer.is_ok() {
            schedule.confirm_disruption(&worker, now_ms);
        } else if !keeps_cordon {
            schedule.set_cordon(&worker, false);
        }
    }
}
