//! The owner's connection to one delegate.

use {
    super::link_frame::{
        CallFrame, DELEGATE_SILENCE_MAX, NumberedCall, ReplyFrame, STAMP_PERIOD, WorkerCall,
        WorkerReply, WorkerTarget,
    },
    crate::{
        node::lock,
        peers::{PeerCall, connect},
        work_meter::WorkMeter,
    },
    dotterelshore_domain::collections::FastMap,
    dotterelshore_wire::peer_codec::{PeerFault, read_frame, write_frame},
    snafu::Snafu,
    std::{
        net::SocketAddr,
        sync::{
            Mutex,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::{
        io::{AsyncRead, AsyncWrite},
        sync::{Notify, mpsc, oneshot},
    },
};

/// Most calls in one frame.
const CALLS_PER_FRAME: usize = 256;

/// Why a delegate did not carry a call out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub(crate) enum LinkFault {
    /// The call did not leave this process.
    #[snafu(display("the call was not sent to the delegate"))]
    NotSent,
    /// The delegate may have carried the call out.
    #[snafu(display("the delegate did not reply"))]
    Lost,
}

/// Why a link ended.
#[derive(Debug, Snafu)]
pub(crate) enum LinkEnd {
    /// The delegate shuts down.
    #[snafu(display("the delegate shuts down"))]
    Leaving,
    /// The delegate was silent for too long.
    #[snafu(display("the delegate was silent"))]
    Silent,
    /// The connection failed.
    #[snafu(display("{source}"))]
    Connection {
        /// The cause.
        source: PeerFault,
    },
}

#[derive(Debug)]
struct QueuedCall {
    target: WorkerTarget,
    call: WorkerCall,
    reply: oneshot::Sender<Result<WorkerReply, LinkFault>>,
}

/// Passes calls to the task of a link.
#[derive(Debug, Clone)]
pub(crate) struct DelegateLink {
    calls: mpsc::UnboundedSender<QueuedCall>,
    knows_ends_polls: bool,
}

/// The calls that wait for a link's task.
#[derive(Debug)]
pub(crate) struct LinkCalls(mpsc::UnboundedReceiver<QueuedCall>);

impl DelegateLink {
    /// Creates a link and the queue for its task, [`open_link`]. A delegate of an earlier version
    /// does not know polls for ends.
    pub(crate) fn new(knows_ends_polls: bool) -> (Self, LinkCalls) {
        let (calls, receiver) = mpsc::unbounded_channel();
        let link = Self {
            calls,
            knows_ends_polls,
        };
        (link, LinkCalls(receiver))
    }

    /// Whether the delegate knows [`WorkerCall::PollEnds`].
    pub(crate) fn knows_ends_polls(&self) -> bool {
        self.knows_ends_polls
    }

    /// Has the delegate carry a call out.
    ///
    /// # Errors
    ///
    /// [`LinkFault`] if no reply came.
    pub(crate) async fn call(
        &self,
        target: WorkerTarget,
        call: WorkerCall,
    ) -> Result<WorkerReply, LinkFault> {
        let (reply, replied) = oneshot::channel();
        let queued = QueuedCall {
            target,
            call,
            reply,
        };
        if self.calls.send(queued).is_err() {
            return Err(LinkFault::NotSent);
        }
        replied.await.unwrap_or(Err(LinkFault::Lost))
    }
}

/// State that the reading and the writing half of a link share.
#[derive(Debug, Default)]
struct LinkState {
    pending: Mutex<FastMap<u64, oneshot::Sender<Result<WorkerReply, LinkFault>>>>,
    /// The newest stamp of the delegate.
    stamp_ms: AtomicU64,
    /// Wakes the writer, which waits for the first stamp.
    stamped: Notify,
}

impl LinkState {
    /// Gives queued calls their numbers, under which their replies are expected from here on.
    fn number_calls(&self, queued: &mut Vec<QueuedCall>, last: &mut u64) -> Vec<NumberedCall> {
        let mut pending = lock(&self.pending);
        let numbered = queued.drain(..).map(|call| {
            *last += 1;
            pending.insert(*last, call.reply);
            NumberedCall {
                number: *last,
                target: call.target,
                call: call.call,
            }
        });
        numbered.collect()
    }
}

/// Connects to a delegate and passes calls and replies until the link ends. Calls that were not
/// sent by then fail as such, and the others as lost. Tells `on_frame` of each frame whether the
/// delegate is about to shut down.
pub(crate) async fn open_link(
    work: &WorkMeter,
    address: SocketAddr,
    mut calls: LinkCalls,
    on_frame: impl Fn(bool),
) -> LinkEnd {
    let end = match run_link(work, address, &mut calls.0, on_frame).await {
        Ok(end) => end,
        Err(source) => LinkEnd::Connection { source },
    };
    calls.0.close();
    while let Some(queued) = calls.0.recv().await {
        drop(queued.reply.send(Err(LinkFault::NotSent)));
    }
    end
}

async fn run_link(
    work: &WorkMeter,
    address: SocketAddr,
    calls: &mut mpsc::UnboundedReceiver<QueuedCall>,
    on_frame: impl Fn(bool),
) -> Result<LinkEnd, PeerFault> {
    let mut stream = connect(address).await?;
    write_frame(&mut stream, &PeerCall::CarryCalls).await?;
    let (mut reader, mut writer) = tokio::io::split(stream);
    let state = LinkState::default();
    tokio::select! {
        end = work.watch("link-reads", read_replies(&mut reader, &state, on_frame)) => end,
        end = work.watch("link-writes", write_calls(&mut writer, &state, calls)) => end,
    }
}

/// Reads replies until the delegate leaves or is silent.
async fn read_replies(
    reader: &mut (impl AsyncRead + Unpin + Send),
    state: &LinkState,
    on_frame: impl Fn(bool),
) -> Result<LinkEnd, PeerFault> {
    loop {
        let frame = tokio::time::timeout(DELEGATE_SILENCE_MAX, read_frame::<ReplyFrame>(reader));
        let Ok(frame) = frame.await else {
            return Ok(LinkEnd::Silent);
        };
        let frame = frame?;
        state.stamp_ms.store(frame.stamp_ms, Ordering::Relaxed);
        state.stamped.notify_one();
        on_frame(frame.is_leaving);
        for (number, reply) in frame.replies {
            if let Some(waiting) = lock(&state.pending).remove(&number) {
                // The caller may have been aborted since.
                drop(waiting.send(Ok(reply)));
            }
        }
        if frame.is_leaving && lock(&state.pending).is_empty() {
            return Ok(LinkEnd::Leaving);
        }
    }
}

/// Writes queued calls with the newest stamp of the delegate, and a frame without calls if there
/// are none for [`STAMP_PERIOD`].
async fn write_calls(
    writer: &mut (impl AsyncWrite + Unpin + Send),
    state: &LinkState,
    calls: &mut mpsc::UnboundedReceiver<QueuedCall>,
) -> Result<LinkEnd, PeerFault> {
    let mut number = 0;
    let mut queued = Vec::new();
    // Calls without a stamp would count as too old.
    state.stamped.notified().await;
    loop {
        let received = calls.recv_many(&mut queued, CALLS_PER_FRAME);
        if tokio::time::timeout(STAMP_PERIOD, received).await == Ok(0) {
            return Ok(LinkEnd::Leaving);
        }
        let frame = CallFrame {
            stamp_ms: state.stamp_ms.load(Ordering::Relaxed),
            calls: state.number_calls(&mut queued, &mut number),
        };
        write_frame(writer, &frame).await?;
    }
}
