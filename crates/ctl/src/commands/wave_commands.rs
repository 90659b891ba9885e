//! Commands for waves: start, pause, resume, list and watch.

use {
    super::CommandContext,
    crate::cli::{CtlFault, WaveCommand, WaveOrderArg},
    dotterelshore_domain::{
        names::{PoolName, WaveName},
        wave::{WaveOrder, WavePlan, WaveRecord, WaveStatus},
    },
    dotterelshore_wire::operator_message::WaveRequest,
    std::time::Duration,
};

/// Interval between progress queries.
const WATCH_PERIOD: Duration = Duration::from_millis(500);

/// Starts, pauses and watches waves.
pub(crate) async fn waves(context: &CommandContext, command: WaveCommand) -> Result<(), CtlFault> {
    match command {
        WaveCommand::Start {
            name,
            pool,
            order,
            buffer,
            watch: watch_progress,
        } => {
            let request = WaveRequest {
                name: WaveName::try_from(name)?,
                pool: PoolName::try_from(pool)?,
                plan: WavePlan {
                    order: wave_order(order),
                    buffer,
                },
            };
            let record = context.client.start_wave(&request).await?;
            if watch_progress {
                return watch(context, &record.name).await;
            }
            print_wave(context, &record);
        }
        WaveCommand::Pause { name } => {
            let record = context
                .client
                .set_paused(&WaveName::try_from(name)?, true)
                .await?;
            print_wave(context, &record);
        }
        WaveCommand::Resume { name } => {
            let record = context
                .client
                .set_paused(&WaveName::try_from(name)?, false)
                .await?;
            print_wave(context, &record);
        }
        WaveCommand::List => {
            let waves = context.client.waves().await?;
            context
                .printer
                .print(&waves, || waves.iter().map(progress_line).collect());
        }
        WaveCommand::Watch { name } => watch(context, &WaveName::try_from(name)?).await?,
    }
    Ok(())
}

fn wave_order(order: WaveOrderArg) -> WaveOrder {
    match order {
        WaveOrderArg::RackTogether => WaveOrder::RackTogether,
        WaveOrderArg::RackSpread => WaveOrder::RackSpread,
        WaveOrderArg::OneAtATime => WaveOrder::OneAtATime,
    }
}

fn print_wave(context: &CommandContext, record: &WaveRecord) {
    context
        .printer
        .print(record, || vec![progress_line(record)]);
}

/// Formats the progress of a wave as one line.
pub(super) fn progress_line(wave: &WaveRecord) -> String {
    format!(
        "wave {} through {}: {:?}, {} of {} instances, owner {}",
        wave.name,
        wave.pool,
        wave.status,
        wave.done.len(),
        wave.members.len(),
        wave.owner.name
    )
}

async fn watch(context: &CommandContext, name: &WaveName) -> Result<(), CtlFault> {
    let mut last_line = String::new();
    loop {
        let waves = context.client.waves().await?;
        let Some(wave) = waves.iter().find(|wave| wave.name == *name) else {
            let detail = format!("no wave '{name}'; 'waves list' shows them");
            return Err(CtlFault::Missing { detail });
        };
        let line = progress_line(wave);
        if wave.status == WaveStatus::Done {
            print_wave(context, wave);
            return Ok(());
        }
        if line != last_line {
            context.printer.progress(&line);
            last_line = line;
        }
        tokio::time::sleep(WATCH_PERIOD).await;
    }
}
