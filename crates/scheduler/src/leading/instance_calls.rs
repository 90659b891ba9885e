//! Orders for instances on their way to the platform, one task for each.

use {
    super::leadership::Leadership,
    crate::node::{lock, uptime_ms},
    dotterelshore_domain::schedule::{InstanceOrder, InstancePlan},
    dotterelshore_platform::{CloudClient, CloudFault},
    dotterelshore_wire::log_event,
    std::sync::Arc,
    tokio::task::JoinSet,
};

/// An order and what the platform answered.
type AnsweredOrder = (InstanceOrder, u64, Result<(), CloudFault>);

/// Orders that were sent and not answered yet.
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

    /// Sends an order, unless authority has ended by then.
    pub(super) fn send(&mut self, leadership: &Arc<Leadership>, order: InstanceOrder) {
        let token = leadership.token();
        let cloud = self.cloud.clone();
        let leadership = Arc::clone(leadership);
        self.calls.spawn(async move {
            if !leadership.may_order() {
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

    /// The next order that was answered, or given up; waits for ever while none is under way.
    pub(super) async fn next_answered(&mut self) -> AnsweredOrder {
        loop {
            match self.calls.join_next().await {
                Some(Ok(answered)) => return answered,
                Some(Err(error)) => log_event!(Error, "instance-call-ended", error = error),
                None => std::future::pending().await,
            }
        }
    }
}

/// Takes an answer into the plan and the schedule.
pub(super) fn settle(
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
        leadership.note_fence(token);
    }
    let unsure = matches!(answer, Err(CloudFault::OutcomeUnknown { .. }));
    let now_ms = uptime_ms();
    let worker = plan.worker_of(order.instance()).cloned();
    let mut keeps_cordon = answer.is_ok() || unsure;
    match &order {
        InstanceOrder::Move { instance, pool } => match &answer {
            Ok(()) => plan.confirm_move(instance, pool, now_ms),
            Err(CloudFault::OutcomeUnknown { .. }) => plan.mark_move_unconfirmed(instance, now_ms),
            Err(_) => plan.revert_move(instance),
        },
        InstanceOrder::Maintain { instance, wave } => {
            if answer.is_ok() || unsure {
                plan.record_maintenance_start(instance, *wave, answer.is_ok(), now_ms);
            } else {
                let gone = matches!(answer, Err(CloudFault::InstanceNotFound));
                keeps_cordon = plan.record_maintenance_refusal(instance, *wave, gone);
            }
        }
    }
    if let Some(worker) = worker {
        let mut schedule = lock(&leadership.schedule);
        if answer.is_ok() {
            schedule.confirm_disruption(&worker, now_ms);
        } else if !keeps_cordon {
            schedule.set_cordon(&worker, false);
        }
    }
}
