//! The way by which calls reach a worker: directly, or carried by a delegate.

use {
    crate::delegation::{DelegateLink, LinkFault, WorkerCall, WorkerReply, WorkerTarget},
    dotterelshore_domain::schedule::{
        PollRequest, PollScope, StartOrder, StartRefusal, StartReply, StopOrder, WorkerReport,
    },
    dotterelshore_platform::{WorkerClient, WorkerFault},
    snafu::Snafu,
};

/// Error of a call by some route.
#[derive(Debug, Snafu)]
pub(super) enum RouteFault {
    /// The worker did not answer as expected.
    #[snafu(transparent)]
    Worker {
        /// The fault.
        source: WorkerFault,
    },
    /// The delegate failed, which says nothing about the worker.
    #[snafu(transparent)]
    Delegate {
        /// The fault.
        source: LinkFault,
    },
}

/// The way by which calls reach a worker.
#[derive(Debug, Clone)]
pub(super) enum WorkerRoute {
    /// Calls are sent to the worker, of the incarnation that began then, in milliseconds since the
    /// Unix epoch.
    Direct(WorkerClient, u64),
    /// Calls are handed to a delegate.
    Delegated(DelegateLink, WorkerTarget),
}

impl WorkerRoute {
    /// Polls the worker's lists of runs, as far as the scope asks.
    pub(super) async fn poll(
        &self,
        request: &PollRequest,
        scope: PollScope,
    ) -> Result<WorkerReport, RouteFault> {
        match self {
            Self::Direct(client, started_ms) => {
                Ok(scope.reduce(*started_ms, client.poll(request).await?))
            }
            Self::Delegated(link, target) => {
                let call = match scope {
                    PollScope::EndsAfter(applied) if link.knows_ends_polls() => {
                        WorkerCall::PollEnds(*request, applied)
                    }
                    _ => WorkerCall::Poll(*request),
                };
                let reply = link.call(target.clone(), call).await?;
                if reply == WorkerReply::NotSent {
                    return Err(LinkFault::NotSent.into());
                }
                let outcome = reply.into_poll().ok_or(LinkFault::Lost)?;
                Ok(outcome?)
            }
        }
    }

    /// Orders the start of a task. An order that was not sent counts as refused.
    pub(super) async fn start(
        &self,
        order: &StartOrder,
        lease_until_ms: u64,
        token: u64,
    ) -> StartReply {
        let (link, target) = match self {
            Self::Direct(client, _) => return client.start(order, lease_until_ms, token).await,
            Self::Delegated(link, target) => (link, target),
        };
        let call = WorkerCall::Start {
            order: order.clone(),
            lease_until_ms,
            token,
        };
        match link.call(target.clone(), call).await {
            Ok(WorkerReply::Started(reply)) => reply,
            Ok(WorkerReply::NotSent) | Err(LinkFault::NotSent) => {
                StartReply::Refused(StartRefusal::Late)
            }
            // A reply to another kind of call says nothing about the start.
            Ok(_) | Err(LinkFault::Lost) => StartReply::Unknown,
        }
    }

    /// Stops a run; returns the worker's clock at its confirmation, in milliseconds.
    pub(super) async fn stop(&self, order: &StopOrder, token: u64) -> Result<u64, RouteFault> {
        match self {
            Self::Direct(client, _) => Ok(client.stop(order, token).await?),
            Self::Delegated(link, target) => {
                let order = order.clone();
                confirm(link, target, WorkerCall::Stop { order, token }).await
            }
        }
    }

    /// Sets the pace of a run, in percent.
    pub(super) async fn pace(
        &self,
        order: &StopOrder,
        percent: u32,
        token: u64,
    ) -> Result<u64, RouteFault> {
        match self {
            Self::Direct(client, _) => Ok(client.pace(order, percent, token).await?),
            Self::Delegated(link, target) => {
                let call = WorkerCall::Pace {
                    order: order.clone(),
                    percent,
                    token,
                };
                confirm(link, target, call).await
            }
        }
    }
}

async fn confirm(
    link: &DelegateLink,
    target: &WorkerTarget,
    call: WorkerCall,
) -> Result<u64, RouteFault> {
    match link.call(target.clone(), call).await? {
        WorkerReply::Confirmed(outcome) => Ok(outcome?),
        WorkerReply::NotSent => Err(LinkFault::NotSent.into()),
        _ => Err(LinkFault::Lost.into()),
    }
}
