//! Periodic timers with jitter, all driven by one task.

use {
    std::{cmp::Reverse, collections::BinaryHeap, time::Duration},
    tokio::{sync::mpsc, time::Instant},
};

/// Jitter of each tick as a fraction of the period; keeps entries from ticking in step.
const JITTER_FRACTION: f64 = 0.1;

/// Handle of the timer task.
#[derive(Debug, Clone)]
pub struct TimerHub {
    subscriptions: mpsc::UnboundedSender<TimerSubscription>,
}

/// A periodic timer. A tick is skipped while the previous one has not been received.
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
    /// Starts the timer task.
    pub fn start() -> Self {
        let (subscriptions, received) = mpsc::unbounded_channel();
        tokio::spawn(run_timers(received));
        Self { subscriptions }
    }

    /// Returns a timer with the given period and jitter; its first tick comes after a random
    /// part of the period.
    pub fn interval(&self, period: Duration) -> TimerInterval {
        let (ticks, received) = mpsc::channel(1);
        let due = Instant::now() + period.mul_f64(rand::random::<f64>());
        let subscription = TimerSubscription { due, period, ticks };
        if self.subscriptions.send(subscription).is_err() {
            log::error!("event=timer-ended");
        }
        TimerInterval { ticks: received }
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

async fn run_timers(mut received: mpsc::UnboundedReceiver<TimerSubscription>) {
    let mut heap: BinaryHeap<Reverse<(Instant, usize)>> = BinaryHeap::new();
    let mut subscriptions: Vec<TimerSubscription> = Vec::new();
    loop {
        let next = heap.peek().map(|Reverse((due, _))| *due);
        tokio::select! {
            subscription = received.recv() => {
                let Some(subscription) = subscription else { return };
                heap.push(Reverse((subscription.due, subscriptions.len())));
                subscriptions.push(subscription);
            }
            () = sleep_until(next) => {
                let Some(Reverse((due, index))) = heap.pop() else { continue };
                let subscription = &subscriptions[index];
                if subscription.ticks.is_closed() {
                    continue;
                }
                let _skipped = subscription.ticks.try_send(());
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

/// Returns the period varied at random by up to ±10%.
pub fn jittered_period(period: Duration) -> Duration {
    period.mul_f64(1.0 + JITTER_FRACTION * (2.0 * rand::random::<f64>() - 1.0))
}

/// Returns a random pause between retries, from half of `pause` to all of it.
pub fn jittered_pause(pause: Duration) -> Duration {
    pause.mul_f64(0.5 + 0.5 * rand::random::<f64>())
}
