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

/// Counts lines that a slow reader made the log drop.
#[derive(Debug, Clone, Default)]
pub(crate) struct DropCount(Arc<AtomicU64>);

impl DropCount {
    /// Lines dropped since the start.
    pub(crate) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// The writing end, filled by the logger.
struct LogPipe {
    lines: SyncSender<Vec<u8>>,
    line: Vec<u8>,
    dropped: DropCount,
}

impl Write for LogPipe {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        if buf.ends_with(b"\n") && self.lines.try_send(std::mem::take(&mut self.line)).is_err() {
            self.dropped.0.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts logging to standard output.
pub(crate) fn start_log(level: LevelFilter) -> DropCount {
    let dropped = DropCount::default();
    let (lines, waiting) = sync_channel(LINES_MAX);
    let counted = dropped.clone();
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
        dropped: dropped.clone(),
    };
    if writer.is_err() || WriteLogger::init(level, config, pipe).is_err() {
        eprintln!("event=log-not-started");
    }
    dropped
}

fn write_lines(waiting: &Receiver<Vec<u8>>, dropped: &DropCount) {
    let mut told = 0;
    while let Ok(mut text) = waiting.recv() {
        while let Ok(line) = waiting.try_recv() {
            text.extend_from_slice(&line);
        }
        let now = dropped.get();
        if now > told {
            text.extend_from_slice(
                format!("event=log-lines-dropped count={}\n", now - told).as_bytes(),
            );
            told = now;
        }
        if io::stdout().write_all(&text).is_err() {
            return;
        }
        thread::sleep(WRITE_PAUSE);
    }
}
