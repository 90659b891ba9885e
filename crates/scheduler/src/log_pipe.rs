//! Non-blocking log on standard output: lines are dropped and counted if the reader is slow.

use {
    simplelog::{ConfigBuilder, LevelFilter, WriteLogger},
    std::{
        io::{self, Write},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
            mpsc::{Receiver, SyncSender, sync_channel},
        },
        thread,
        time::Duration,
    },
};

/// Lines that may wait to be written; further ones are dropped. About one second of the heaviest
/// logging.
const WAITING_LINES_MAX: usize = 2_048;
/// Pause after each write, so that lines are written in batches.
const WRITE_PAUSE: Duration = Duration::from_millis(100);

/// Time between checks whether all lines are written, at shutdown.
const FLUSH_POLL_PERIOD: Duration = Duration::from_millis(10);

/// Counts of lines that wait to be written and of lines dropped because of a slow reader.
#[derive(Debug, Clone, Default)]
pub(crate) struct LogCounts {
    dropped: Arc<AtomicU64>,
    waiting: Arc<AtomicU64>,
}

impl LogCounts {
    /// Lines dropped since the process started.
    pub(crate) fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Waits until every line is written, for at most `timeout`, since the reader may have stopped.
    pub(crate) async fn wait_until_written(&self, timeout: Duration) {
        let all_written = async {
            while self.waiting.load(Ordering::Relaxed) > 0 {
                tokio::time::sleep(FLUSH_POLL_PERIOD).await;
            }
        };
        let _timed_out = tokio::time::timeout(timeout, all_written).await;
    }
}

/// Passes the logger's lines to the writer thread.
struct LogPipe {
    sender: SyncSender<Vec<u8>>,
    line: Vec<u8>,
    counts: LogCounts,
}

impl Write for LogPipe {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        if buf.ends_with(b"\n") {
            self.counts.waiting.fetch_add(1, Ordering::Relaxed);
            if self
                .sender
                .try_send(std::mem::take(&mut self.line))
                .is_err()
            {
                self.counts.waiting.fetch_sub(1, Ordering::Relaxed);
                self.counts.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts the logger and its writer thread.
pub(crate) fn start_log(level: LevelFilter) -> LogCounts {
    let counts = LogCounts::default();
    let (sender, receiver) = sync_channel(WAITING_LINES_MAX);
    let writer_counts = counts.clone();
    let writer = thread::Builder::new()
        .name("log".to_owned())
        .stack_size(64 * 1024)
        .spawn(move || write_lines(&receiver, &writer_counts));
    let config = ConfigBuilder::new()
        .set_max_level(LevelFilter::Off)
        .set_time_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build();
    let pipe = LogPipe {
        sender,
        line: Vec::new(),
        counts: counts.clone(),
    };
    if writer.is_err() || WriteLogger::init(level, config, pipe).is_err() {
        eprintln!("event=log-not-started");
    }
    counts
}

fn write_lines(receiver: &Receiver<Vec<u8>>, counts: &LogCounts) {
    let mut reported = 0;
    while let Ok(mut text) = receiver.recv() {
        let mut lines = 1;
        while let Ok(line) = receiver.try_recv() {
            text.extend_from_slice(&line);
            lines += 1;
        }
        let dropped = counts.dropped();
        if dropped > reported {
            text.extend_from_slice(
                format!("event=log-lines-dropped count={}\n", dropped - reported).as_bytes(),
            );
            reported = dropped;
        }
        if io::stdout().write_all(&text).is_err() {
            return;
        }
        counts.waiting.fetch_sub(lines, Ordering::Relaxed);
        thread::sleep(WRITE_PAUSE);
    }
}
