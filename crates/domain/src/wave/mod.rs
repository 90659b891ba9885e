//! Maintenance waves: the order of disruptions and the progress of a wave.

mod wave_plan;
mod wave_record;

pub use {
    wave_plan::{WaveOrder, WavePlan, WaveView},
    wave_record::{WaveRecord, WaveStatus},
};
