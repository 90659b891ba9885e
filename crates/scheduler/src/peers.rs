//! Asking the owner of the schedule, and answering other entries as its owner.

use {
    crate::{
        job_records::{record_cancel, record_job},
        node::{SchedulerNode, lock},
    },
    dotterelshore_domain::{
        names::{JobName, QueueName},
        schedule::{JobRecord, JobState},
    },
    dotterelshore_wire::{
        log_event,
        peer_codec::{PeerFault, read_frame, write_frame},
    },
    serde::{Deserialize, Serialize},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::BufStream,
        net::{TcpListener, TcpStream},
        sync::Mutex as AsyncMutex,
    },
};

/// Longest time for the owner's answer, connecting included. Some hundred times an
/// undisturbed round trip.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time to open a connection to the owner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time for the owner's word on a record: its own write, and the way.
const RECORD_TIMEOUT: Duration = Duration::from_millis(900);
/// Wait after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What an entry asks the owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum OwnerCall {
    /// Where does a job stand?
    State(JobName),
    /// How many jobs of a queue wait?
    Pending(QueueName),
    /// Record a job, for an entry that the store turns away.
    Submit(Box<JobRecord>),
    /// Record that a job is cancelled, for such an entry.
    Cancel(JobName),
}

/// What the owner answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum OwnerReply {
    /// Where the job stands; nothing if the owner does not know it.
    State(Option<JobState>),
    /// Jobs that wait.
    Pending(u64),
    /// What became of the record.
    Recorded(RecordOutcome),
    /// This entry does not own the schedule.
    NotOwner,
}

/// What became of a record that a caller asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RecordOutcome {
    /// It is stored, now or since before.
    Stored,
    /// There is no such job.
    NoJob,
    /// It is not stored and will not be.
    NotStored,
    /// It may be stored, now or later.
    Unsure,
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

    /// A call on a connection of its own, so that it is known whether it was sent.
    async fn call_once(
        address: SocketAddr,
        call: &OwnerCall,
    ) -> Result<Option<OwnerReply>, PeerFault> {
        let mut stream = connect(address).await?;
        let exchange = async {
            write_frame(&mut stream, call).await?;
            read_frame(&mut stream).await
        };
        match tokio::time::timeout(RECORD_TIMEOUT, exchange).await {
            Ok(Ok(reply)) => Ok(Some(reply)),
            Ok(Err(fault)) => {
                log_event!(Info, "owner-record-unsure", owner = address, error = fault);
                Ok(None)
            }
            Err(_) => {
                log_event!(Info, "owner-record-late", owner = address);
                Ok(None)
            }
        }
    }
}

/// Has the owner record what this entry can't, since the store turns it away.
pub(crate) async fn record_by_owner(node: &SchedulerNode, call: OwnerCall) -> RecordOutcome {
    let owner = node.owner.borrow().clone();
    let Some(owner) = owner.filter(|owner| owner.incarnation != node.incarnation) else {
        return RecordOutcome::NotStored;
    };
    let connecting = OwnerLink::call_once(owner.address, &call);
    match tokio::time::timeout(CONNECT_TIMEOUT + RECORD_TIMEOUT, connecting).await {
        Ok(Ok(Some(OwnerReply::Recorded(outcome)))) => outcome,
        Ok(Ok(None)) => RecordOutcome::Unsure,
        Ok(Err(fault)) => {
            log_event!(
                Debug,
                "owner-not-reached",
                owner = owner.address,
                error = fault
            );
            RecordOutcome::NotStored
        }
        // Another answer is the word of an entry that is no owner and recorded nothing. The
        // call's own limit comes before this one, so on that the connection never opened.
        Ok(Ok(Some(_))) | Err(_) => RecordOutcome::NotStored,
    }
}

async fn connect(address: SocketAddr) -> Result<BufStream<TcpStream>, PeerFault> {
    let opening = TcpStream::connect(address);
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, opening).await;
    let stream = opened
        .unwrap_or_else(|elapsed| Err(io::Error::new(io::ErrorKind::TimedOut, elapsed)))
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
        OwnerCall::Submit(_) | OwnerCall::Cancel(_) => return None,
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
        let reply = match &call {
            _ if node.leadership().is_none() => OwnerReply::NotOwner,
            OwnerCall::Submit(record) => OwnerReply::Recorded(record_job(&node, record).await),
            OwnerCall::Cancel(job) => OwnerReply::Recorded(record_cancel(&node, job).await),
            call => answer(&node, call).unwrap_or(OwnerReply::NotOwner),
        };
        if let Err(fault) = write_frame(&mut stream, &reply).await {
            log_event!(Debug, "peer-gone", error = fault);
            return;
        }
    }
}
