//! Log lines on standard output that never hold up the work.

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

/// Lines that wait for the reader; further ones are dropped and counted. About a second of
/// the heaviest measured logging.
const LINES_MAX: usize = 2_048;
/// Pause after lines were written, so that lines are written many at a time.
const WRITE_PAUSE: Duration = Duration::from_millis(100);

/// Pause between looks whether all lines are written, at the end of the process.
const END_PAUSE: Duration = Duration::from_millis(10);

/// Counts lines that wait to be written, and those that a slow reader made the log drop.
#[derive(Debug, Clone, Default)]
pub(crate) struct LogCounts {
    dropped: Arc<AtomicU64>,
    waiting: Arc<AtomicU64>,
}

impl LogCounts {
    /// Lines dropped since the start.
    pub(crate) fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Waits until every line is written, but no longer than `most`: the reader may have
    /// stopped.
    pub(crate) async fn written(&self, most: Duration) {
        let all_written = async {
            while self.waiting.load(Ordering::Relaxed) > 0 {
                tokio::time::sleep(END_PAUSE).await;
            }
        };
        let _late = tokio::time::timeout(most, all_written).await;
    }
}

/// The writing end, filled by the logger.
struct LogPipe {
    lines: SyncSender<Vec<u8>>,
    line: Vec<u8>,
    counts: LogCounts,
}

impl Write for LogPipe {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        if buf.ends_with(b"\n") {
            self.counts.waiting.fetch_add(1, Ordering::Relaxed);
            if self.lines.try_send(std::mem::take(&mut self.line)).is_err() {
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

/// Starts logging to standard output.
pub(crate) fn start_log(level: LevelFilter) -> LogCounts {
    let counts = LogCounts::default();
    let (lines, waiting) = sync_channel(LINES_MAX);
    let counted = counts.clone();
    let writer = thread::Builder::new()
        .name("log".to_owned())
        .stack_size(64 * 1024)
        .spawn(move || write_lines(&waiting, &counted));
    let config = ConfigBuilder::new()
        .set_max_level(LevelFilter::Off)
        .set_time_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build();
    let pipe = LogPipe {
        lines,
        line: Vec::new(),
        counts: counts.clone(),
    };
    if writer.is_err() || WriteLogger::init(level, config, pipe).is_err() {
        eprintln!("event=log-not-started");
    }
    counts
}

fn write_lines(waiting: &Receiver<Vec<u8>>, counts: &LogCounts) {
    let mut told = 0;
    while let Ok(mut text) = waiting.recv() {
        let mut lines = 1;
        while let Ok(line) = waiting.try_recv() {
            text.extend_from_slice(&line);
            lines += 1;
        }
        let now = counts.dropped();
        if now > told {
            text.extend_from_slice(
                format!("event=log-lines-dropped count={}\n", now - told).as_bytes(),
            );
            told = now;
        }
        if io::stdout().write_all(&text).is_err() {
            return;
        }
        counts.waiting.fetch_sub(lines, Ordering::Relaxed);
        thread::sleep(WRITE_PAUSE);
    }
}
