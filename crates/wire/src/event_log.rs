//! Structured logging: one line of key=value pairs per event.

use {
    simplelog::{ConfigBuilder, LevelFilter, WriteLogger},
    std::time::{SystemTime, UNIX_EPOCH},
};

/// Starts logging to standard error; has no effect if logging was started before.
pub fn start_log(level: LevelFilter) {
    let config = ConfigBuilder::new()
        .set_max_level(LevelFilter::Off)
        .set_time_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build();
    if WriteLogger::init(level, config, std::io::stderr()).is_err() {
        log::debug!("event=log-started-before");
    }
}

/// Returns the system time in milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Quotes a value that is empty or contains white space, quotes or equals signs.
pub fn pair_value(value: &str) -> String {
    let is_plain = !value.is_empty()
        && value
            .chars()
            .all(|c| !c.is_whitespace() && c != '"' && c != '=');
    if is_plain {
        value.to_owned()
    } else {
        format!("{value:?}")
    }
}

/// Logs one event: its level, its name, and key=value pairs.
///
/// ```
/// dotterelshore_wire::log_event!(Info, "entry-started", name = "north-1", port = 4000);
/// ```
#[macro_export]
macro_rules! log_event {
    ($level:ident, $event:literal $(, $key:ident = $value:expr)* $(,)?) => {
        if log::log_enabled!(log::Level::$level) {
            let mut line = format!(
                "at_ms={} level={} event={}",
                $crate::event_log::unix_millis(),
                log::Level::$level.as_str().to_ascii_lowercase(),
                $event,
            );
            $(
                line.push(' ');
                line.push_str(stringify!($key));
                line.push('=');
                line.push_str(&$crate::event_log::pair_value(&$value.to_string()));
            )*
            log::log!(log::Level::$level, "{line}");
        }
    };
}
