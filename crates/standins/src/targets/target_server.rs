//! HTTP server and state of one target.

use {
    super::{executor_target::ExecutorRuns, worker_target::WorkerTasks},
    crate::history::HistoryWriter,
    bytes::Bytes,
    dotterelshore_wire::{
        http_server::{BodyError, FullResponse, content_response, serve},
        target_message::{HEADER_OUTCOME, OUTCOME_NOT_RUN},
    },
    http_body_util::{BodyExt, combinators::UnsyncBoxBody},
    hyper::{Request, Response, body::Incoming, header::HeaderValue},
    serde::{Deserialize, Serialize},
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
    tokio::{net::TcpListener, sync::watch},
};

/// A response whose body may be truncated.
pub(super) type TargetResponse = Response<UnsyncBoxBody<Bytes, BodyError>>;

/// Kind of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum TargetKind {
    /// Serves requests.
    Executor,
    /// Runs tasks.
    Worker,
}

/// Faults of a target, in effect until the next change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TargetBehaviour {
    /// Whether every run and task fails.
    pub fail_all: bool,
    /// Time added to each run of an executor, in milliseconds; tasks are not delayed.
    #[serde(rename = "late_ms")]
    pub delay_ms: u64,
}

/// A target that is served on its own listener.
#[derive(Debug)]
pub(super) struct TargetServer {
    pub(super) name: String,
    pub(super) kind: TargetKind,
    pub(super) slots: u32,
    pub(super) history: HistoryWriter,
    pub(super) runs: ExecutorRuns,
    pub(super) tasks: WorkerTasks,
    behaviour: Mutex<TargetBehaviour>,
    stopped: watch::Sender<bool>,
}

impl TargetServer {
    /// Creates a stopped target.
    pub(super) fn new(
        name: String,
        kind: TargetKind,
        slots: u32,
        history: HistoryWriter,
    ) -> Arc<Self> {
        Arc::new(Self {
            name,
            kind,
            slots,
            history,
            runs: ExecutorRuns::default(),
            tasks: WorkerTasks::default(),
            behaviour: Mutex::new(TargetBehaviour::default()),
            stopped: watch::Sender::new(true),
        })
    }

    pub(super) fn behaviour(&self) -> TargetBehaviour {
        *self.lock_behaviour()
    }

    pub(super) fn set_behaviour(&self, behaviour: TargetBehaviour) {
        *self.lock_behaviour() = behaviour;
    }

    fn lock_behaviour(&self) -> MutexGuard<'_, TargetBehaviour> {
        self.behaviour
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Stops the target: closes its port and interrupts everything it runs.
    pub(super) fn stop(&self) {
        self.stopped.send_replace(true);
    }

    /// Returns whether the target is stopped.
    pub(super) fn is_stopped(&self) -> bool {
        *self.stopped.borrow()
    }

    /// Serves the target on the listener until it is stopped.
    pub(super) fn start(self: &Arc<Self>, listener: TcpListener) {
        self.stopped.send_replace(false);
        let target = Arc::clone(self);
        let stopped = self.stopped.subscribe();
        tokio::spawn(serve(
            listener,
            move |request| {
                let target = Arc::clone(&target);
                async move { target.respond(request).await }
            },
            stopped,
        ));
    }

    /// Resolves when the target is stopped.
    pub(super) async fn wait_until_stopped(&self) {
        let mut stopped = self.stopped.subscribe();
        let _sender_dropped = stopped.wait_for(|stopped| *stopped).await;
    }

    async fn respond(self: Arc<Self>, request: Request<Incoming>) -> TargetResponse {
        if self.kind == TargetKind::Executor {
            super::executor_target::respond(self, request).await
        } else {
            super::worker_target::respond(self, request).await
        }
    }
}

/// Returns a request header as text, or an empty string if it is missing.
pub(super) fn header_text(request: &Request<Incoming>, name: &str) -> String {
    let value = request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Returns a query parameter by name.
pub(super) fn query_text(request: &Request<Incoming>, name: &str) -> Option<String> {
    let pairs = request
        .uri()
        .query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(key, _)| *key == name)
        .map(|(_, value)| value.to_owned())
        .next()
}

/// Boxes a complete response.
pub(super) fn boxed(response: FullResponse) -> TargetResponse {
    response.map(|body| body.map_err(|never| match never {}).boxed_unsync())
}

/// Returns a refusal whose outcome header states that the request did not run.
pub(super) fn not_run_refusal(reason: &'static str) -> TargetResponse {
    let mut response = content_response(503, "text/plain", reason);
    response
        .headers_mut()
        .insert(HEADER_OUTCOME, HeaderValue::from_static(OUTCOME_NOT_RUN));
    boxed(response)
}

/// Returns a response whose body ends early.
pub(super) fn truncated_response() -> TargetResponse {
    Response::new(TruncatedBody { is_started: false }.boxed_unsync())
}

#[derive(Debug)]
struct TruncatedBody {
    is_started: bool,
}

impl hyper::body::Body for TruncatedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        _context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<hyper::body::Frame<Bytes>, BodyError>>> {
        let frame = if self.is_started {
            Err("response body truncated on purpose".into())
        } else {
            Ok(hyper::body::Frame::data(Bytes::from_static(b"{\"nonce\":")))
        };
        self.is_started = true;
        std::task::Poll::Ready(Some(frame))
    }
}
