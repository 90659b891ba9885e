//! The delegate's side of a link: sends the owner's calls to workers and returns the replies.

use {
    super::link_frame::{
        CALL_AGE_MAX_MS, CallFrame, NumberedCall, OWNER_SILENCE_MAX, ReplyFrame, STAMP_PERIOD,
        WorkerCall, WorkerReply, WorkerTarget,
    },
    crate::node::{SchedulerNode, lock, uptime_ms},
    dotterelshore_domain::{collections::FastMap, names::WorkerName, schedule::PollScope},
    dotterelshore_platform::WorkerClient,
    dotterelshore_wire::{
        log_event,
        peer_codec::{PeerFault, read_frame, write_frame},
    },
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite},
        sync::mpsc,
        task::JoinSet,
    },
};

/// Pause before a frame, so that replies that arrive close together share it: the owner's work for a
/// frame is many times that for a reply.
const REPLY_PAUSE: Duration = Duration::from_millis(10);
/// Most replies in one frame.
const REPLIES_PER_FRAME: usize = 256;
/// Bytes of checkpoints in one frame, unless one reply has more: the owner gives up a delegate that
/// sends no whole frame for long.
const CHECKPOINTS_PER_FRAME: usize = 256 * 1024;
/// Time after which the connections of a worker without calls are closed, in milliseconds.
const CLIENT_IDLE_MS: u64 = 10_000;

/// A client of a worker, and when it was last used.
#[derive(Debug)]
struct CachedClient {
    target: WorkerTarget,
    client: WorkerClient,
    used_ms: u64,
}

/// Clients of the workers that the owner calls through this entry.
#[derive(Debug, Default)]
struct ClientCache(Mutex<FastMap<WorkerName, CachedClient>>);

impl ClientCache {
    /// Returns a client of a worker; a new one if its incarnation or address changed.
    fn client(&self, target: &WorkerTarget, now_ms: u64) -> WorkerClient {
        let mut cached = lock(&self.0);
        let cached = cached
            .entry(target.name.clone())
            .or_insert_with(|| CachedClient::new(target, now_ms));
        if cached.target != *target {
            *cached = CachedClient::new(target, now_ms);
        }
        cached.used_ms = now_ms;
        cached.client.clone()
    }

    fn remove_idle(&self, now_ms: u64) {
        lock(&self.0).retain(|_, cached| now_ms < cached.used_ms + CLIENT_IDLE_MS);
    }
}

impl CachedClient {
    fn new(target: &WorkerTarget, now_ms: u64) -> Self {
        Self {
            target: target.clone(),
            client: WorkerClient::at(&target.name, &target.address),
            used_ms: now_ms,
        }
    }
}

/// Carries the calls of an owner until the connection ends. Calls that are open then are aborted.
pub(crate) async fn carry_calls(
    node: &SchedulerNode,
    stream: impl AsyncRead + AsyncWrite + Unpin + Send,
) {
    let (mut reader, mut writer) = tokio::io::split(stream);
    let (replies, reply_queue) = mpsc::unbounded_channel();
    log_event!(Info, "delegated", node = node.settings.name);
    let end = tokio::select! {
        end = read_calls(&mut reader, &replies) => end,
        end = write_replies(node, &mut writer, reply_queue) => end,
    };
    match end {
        Ok(reason) => log_event!(Info, "delegation-ended", reason = reason),
        Err(fault) => log_event!(Info, "delegation-ended", reason = fault),
    }
}

/// Reads calls and starts a task for each, until the owner is silent.
async fn read_calls(
    reader: &mut (impl AsyncRead + Unpin + Send),
    replies: &mpsc::UnboundedSender<(u64, WorkerReply)>,
) -> Result<&'static str, PeerFault> {
    let clients = Arc::new(ClientCache::default());
    let mut open_calls = JoinSet::new();
    loop {
        let frame = tokio::time::timeout(OWNER_SILENCE_MAX, read_frame::<CallFrame>(reader));
        let Ok(frame) = frame.await else {
            return Ok("silent");
        };
        let frame = frame?;
        for call in frame.calls {
            let (clients, replies) = (Arc::clone(&clients), replies.clone());
            open_calls.spawn(async move {
                let number = call.number;
                let reply = carry_call(&clients, call, frame.stamp_ms).await;
                replies.send((number, reply)).is_ok()
            });
        }
        while let Some(ended) = open_calls.try_join_next() {
            if let Err(error) = ended {
                // Without a reply the owner's caller would wait for good.
                log_event!(Error, "carried-call-failed", error = error);
                return Ok("call failed");
            }
        }
        clients.remove_idle(uptime_ms());
    }
}

/// Sends one call, unless it is too old.
async fn carry_call(clients: &ClientCache, call: NumberedCall, stamp_ms: u64) -> WorkerReply {
    let now_ms = uptime_ms();
    if now_ms > stamp_ms + CALL_AGE_MAX_MS {
        return WorkerReply::NotSent;
    }
    let client = clients.client(&call.target, now_ms);
    match call.call {
        WorkerCall::Poll(request) => WorkerReply::of_poll(client.poll(&request).await),
        WorkerCall::PollEnds(request, applied) => {
            let started_ms = call.target.started_ms;
            let reduce = |report| PollScope::EndsAfter(applied).reduce(started_ms, report);
            WorkerReply::of_poll(client.poll(&request).await.map(reduce))
        }
        WorkerCall::Start {
            order,
            lease_until_ms,
            token,
        } => WorkerReply::Started(client.start(&order, lease_until_ms, token).await),
        WorkerCall::Stop { order, token } => {
            WorkerReply::Confirmed(client.stop(&order, token).await)
        }
        WorkerCall::Pace {
            order,
            percent,
            token,
        } => WorkerReply::Confirmed(client.pace(&order, percent, token).await),
    }
}

/// Writes the replies of each [`REPLY_PAUSE`], and a stamp at least each [`STAMP_PERIOD`].
async fn write_replies(
    node: &SchedulerNode,
    writer: &mut (impl AsyncWrite + Unpin + Send),
    mut reply_queue: mpsc::UnboundedReceiver<(u64, WorkerReply)>,
) -> Result<&'static str, PeerFault> {
    let mut replies = Vec::new();
    loop {
        let later = replies.split_off(first_frame_len(&replies));
        let frame = ReplyFrame {
            stamp_ms: uptime_ms(),
            is_leaving: *node.shutdown.borrow(),
            replies: std::mem::replace(&mut replies, later),
        };
        write_frame(writer, &frame).await?;
        if !replies.is_empty() {
            continue;
        }
        let received = reply_queue.recv_many(&mut replies, REPLIES_PER_FRAME);
        if tokio::time::timeout(STAMP_PERIOD, received).await == Ok(0) {
            return Ok("ended");
        }
        tokio::time::sleep(REPLY_PAUSE).await;
        while replies.len() < REPLIES_PER_FRAME {
            let Ok(reply) = reply_queue.try_recv() else {
                break;
            };
            replies.push(reply);
        }
    }
}

/// Returns how many of the replies go into the first frame.
fn first_frame_len(replies: &[(u64, WorkerReply)]) -> usize {
    let mut bytes = 0;
    let fitting = replies.iter().take_while(|(_, reply)| {
        bytes += reply.checkpoint_bytes();
        bytes <= CHECKPOINTS_PER_FRAME
    });
    fitting.count().max(1).min(replies.len())
}
