//! The timer service: one task keeps the time, and parts subscribe to it.

use {
    std::{cmp::Reverse, collections::BinaryHeap, time::Duration},
    tokio::{sync::mpsc, time::Instant},
};

/// Part of a period by which each tick varies, so that entries do not beat together.
const JITTER_FRACTION: f64 = 0.1;

/// Where parts subscribe.
#[derive(Debug, Clone)]
pub struct TimerHub {
    subscriptions: mpsc::UnboundedSender<TimerSubscription>,
}

/// A part's ticks. A tick that was not taken is not repeated.
#[derive(Debug)]
pub struct TimerInterval {
    ticks: mpsc::Receiver<()>,
}

#[derive(Debug)]
struct TimerSubscription {
    due: Instant,
    period: Duration,
    ticks: mpsc::Sender<()>,
}

impl TimerHub {
    /// Starts the timer's task.
    pub fn start() -> Self {
        let (subscriptions, taken) = mpsc::unbounded_channel();
        tokio::spawn(keep_time(taken));
        Self { subscriptions }
    }

    /// Ticks about every `period`, the first after a random part of it.
    pub fn interval(&self, period: Duration) -> TimerInterval {
        let (ticks, feed) = mpsc::channel(1);
        let due = Instant::now() + period.mul_f64(rand::random::<f64>());
        let subscription = TimerSubscription { due, period, ticks };
        if self.subscriptions.send(subscription).is_err() {
            log::error!("event=timer-ended");
        }
        TimerInterval { ticks: feed }
    }
}

impl TimerInterval {
    /// Waits for the next tick.
    pub async fn tick(&mut self) {
        if self.ticks.recv().await.is_none() {
            std::future::pending::<()>().await;
        }
    }
}

async fn keep_time(mut taken: mpsc::UnboundedReceiver<TimerSubscription>) {
    let mut heap: BinaryHeap<Reverse<(Instant, usize)>> = BinaryHeap::new();
    let mut kept: Vec<TimerSubscription> = Vec::new();
    loop {
        let next = heap.peek().map(|Reverse((due, _))| *due);
        tokio::select! {
            subscription = taken.recv() => {
                let Some(subscription) = subscription else { return };
                heap.push(Reverse((subscription.due, kept.len())));
                kept.push(subscription);
            }
            () = sleep_until(next) => {
                let Some(Reverse((due, index))) = heap.pop() else { continue };
                let subscription = &kept[index];
                if subscription.ticks.is_closed() {
                    continue;
                }
                let _not_taken = subscription.ticks.try_send(());
                heap.push(Reverse((due.max(Instant::now()) + jittered_period(subscription.period), index)));
            }
        }
    }
}

async fn sleep_until(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due).await,
        None => std::future::pending().await,
    }
}

/// A period made a little longer or shorter at random.
pub fn jittered_period(period: Duration) -> Duration {
    period.mul_f64(1.0 + JITTER_FRACTION * (2.0 * rand::random::<f64>() - 1.0))
}

/// A pause between tries, drawn from half of the given one to all of it.
pub fn jittered_pause(pause: Duration) -> Duration {
    pause.mul_f64(0.5 + 0.5 * rand::random::<f64>())
}
