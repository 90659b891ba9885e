//! Asking the owner of the schedule, and answering other entries as its owner.

use {
    crate::node::{SchedulerNode, lock},
    dotterelshore_domain::{
        names::{JobName, QueueName},
        schedule::JobState,
    },
    dotterelshore_wire::{
        log_event,
        peer_codec::{PeerFault, read_frame, write_frame},
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::BufStream,
        net::{TcpListener, TcpStream},
        sync::Mutex as AsyncMutex,
    },
};

/// Longest time for the owner's answer, connecting included. Some hundred times an
/// undisturbed round trip.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Wait after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What an entry asks the owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum OwnerCall {
    /// Where does a job stand?
    State(JobName),
    /// How many jobs of a queue wait?
    Pending(QueueName),
}

/// What the owner answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum OwnerReply {
    /// Where the job stands; nothing if the owner does not know it.
    State(Option<JobState>),
    /// Jobs that wait.
    Pending(u64),
    /// This entry does not own the schedule.
    NotOwner,
}

/// The connection to the owner, opened when there is something to ask.
#[derive(Debug, Default)]
pub(crate) struct OwnerLink {
    open: AsyncMutex<Option<(SocketAddr, BufStream<TcpStream>)>>,
}

impl OwnerLink {
    async fn call(&self, address: SocketAddr, call: &OwnerCall) -> Result<OwnerReply, PeerFault> {
        let mut open = self.open.lock().await;
        let mut stream = match open.take() {
            Some((to, stream)) if to == address => stream,
            _ => connect(address).await?,
        };
        write_frame(&mut stream, call).await?;
        let reply = read_frame(&mut stream).await?;
        *open = Some((address, stream));
        Ok(reply)
    }
}

async fn connect(address: SocketAddr) -> Result<BufStream<TcpStream>, PeerFault> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|source| PeerFault::Connection { source })?;
    if let Err(error) = stream.set_nodelay(true) {
        log_event!(Debug, "nodelay-not-set", error = error);
    }
    Ok(BufStream::new(stream))
}

/// Asks the owner, here or elsewhere; nothing if it is not known or does not answer.
pub(crate) async fn ask_owner(node: &SchedulerNode, call: OwnerCall) -> Option<OwnerReply> {
    if let Some(reply) = answer(node, &call) {
        return Some(reply);
    }
    let address = node.owner.borrow().as_ref().map(|owner| owner.address)?;
    let asked = tokio::time::timeout(CALL_TIMEOUT, node.owner_link.call(address, &call));
    match asked.await {
        Ok(Ok(OwnerReply::NotOwner)) => None,
        Ok(Ok(reply)) => Some(reply),
        Ok(Err(fault)) => {
            node.metrics.count_retry("owner-connection");
            log_event!(Debug, "owner-call-failed", owner = address, error = fault);
            None
        }
        Err(_) => {
            node.metrics.count_retry("owner-timeout");
            log_event!(Debug, "owner-call-timeout", owner = address);
            None
        }
    }
}

/// The owner's answer; nothing if this process does not own the schedule.
fn answer(node: &SchedulerNode, call: &OwnerCall) -> Option<OwnerReply> {
    let leadership = node.leadership()?;
    let schedule = lock(&leadership.schedule);
    Some(match call {
        OwnerCall::State(job) => OwnerReply::State(schedule.state(job)),
        OwnerCall::Pending(queue) => OwnerReply::Pending(schedule.pending(queue) as u64),
    })
}

/// Starts answering other entries.
pub(crate) fn start(node: &Arc<SchedulerNode>, listener: TcpListener) {
    let node = Arc::clone(node);
    tokio::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(answer_peer(Arc::clone(&node), stream));
                }
                Err(error) => {
                    log_event!(Warn, "accept-failed", error = error);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
}

async fn answer_peer(node: Arc<SchedulerNode>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log_event!(Debug, "nodelay-not-set", error = error);
    }
    let mut stream = BufStream::new(stream);
    loop {
        let call: OwnerCall = match read_frame(&mut stream).await {
            Ok(call) => call,
            Err(PeerFault::Connection { .. }) => return,
            Err(fault) => {
                log_event!(Warn, "peer-foreign", error = fault);
                return;
            }
        };
        let reply = answer(&node, &call).unwrap_or(OwnerReply::NotOwner);
        if let Err(fault) = write_frame(&mut stream, &reply).await {
            log_event!(Debug, "peer-gone", error = fault);
            return;
        }
    }
}
