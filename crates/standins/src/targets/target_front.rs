//! One target: its state and its HTTP front.

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

/// An answer that may end early.
pub(super) type TargetAnswer = Response<UnsyncBoxBody<Bytes, BodyError>>;

/// What a target is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum TargetKind {
    /// Answers requests.
    Executor,
    /// Runs tasks.
    Worker,
}

/// How a target behaves until it is told otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TargetBehaviour {
    /// It fails everything it starts.
    pub fail_all: bool,
    /// Each answer comes this much later, in milliseconds.
    #[serde(rename = "late_ms")]
    pub delay_ms: u64,
}

/// One target.
#[derive(Debug)]
pub(super) struct TargetFront {
    pub(super) name: String,
    pub(super) kind: TargetKind,
    pub(super) slots: u32,
    pub(super) history: HistoryWriter,
    pub(super) runs: ExecutorRuns,
    pub(super) tasks: WorkerTasks,
    behaviour: Mutex<TargetBehaviour>,
    stopped: watch::Sender<bool>,
}

impl TargetFront {
    /// A target that is stopped.
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

    pub(super) fn behave(&self, behaviour: TargetBehaviour) {
        *self.lock_behaviour() = behaviour;
    }

    fn lock_behaviour(&self) -> MutexGuard<'_, TargetBehaviour> {
        self.behaviour
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Stops it: everything running is cut, and its port closes.
    pub(super) fn stop(&self) {
        self.stopped.send_replace(true);
    }

    /// Whether it is stopped.
    pub(super) fn is_stopped(&self) -> bool {
        *self.stopped.borrow()
    }

    /// Serves on the listener until it is stopped.
    pub(super) fn start(self: &Arc<Self>, listener: TcpListener) {
        self.stopped.send_replace(false);
        let target = Arc::clone(self);
        let stopped = self.stopped.subscribe();
        tokio::spawn(serve(
            listener,
            move |request| {
                let target = Arc::clone(&target);
                async move { target.answer(request).await }
            },
            stopped,
        ));
    }

    /// Resolves when the target is stopped.
    pub(super) async fn cut(&self) {
        let mut stopped = self.stopped.subscribe();
        let _gone = stopped.wait_for(|stopped| *stopped).await;
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> TargetAnswer {
        if self.kind == TargetKind::Executor {
            super::executor_target::answer(self, request).await
        } else {
            super::worker_target::answer(self, request).await
        }
    }
}

/// A header of a request as text.
pub(super) fn header_text(request: &Request<Incoming>, name: &str) -> String {
    let value = request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// A query's value by name.
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

/// An answer that is sent whole.
pub(super) fn whole(answer: FullResponse) -> TargetAnswer {
    answer.map(|body| body.map_err(|never| match never {}).boxed_unsync())
}

/// A refusal by which the target vouches that nothing ran.
pub(super) fn vouched(reason: &'static str) -> TargetAnswer {
    let mut answer = content_response(503, "text/plain", reason);
    answer
        .headers_mut()
        .insert(HEADER_OUTCOME, HeaderValue::from_static(OUTCOME_NOT_RUN));
    whole(answer)
}

/// An answer whose body breaks off.
pub(super) fn broken() -> TargetAnswer {
    Response::new(BrokenBody { begun: false }.boxed_unsync())
}

#[derive(Debug)]
struct BrokenBody {
    begun: bool,
}

impl hyper::body::Body for BrokenBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        _context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<hyper::body::Frame<Bytes>, BodyError>>> {
        let frame = if self.begun {
            Err("cut".into())
        } else {
            Ok(hyper::body::Frame::data(Bytes::from_static(b"{\"nonce\":")))
        };
        self.begun = true;
        std::task::Poll::Ready(Some(frame))
    }
}
