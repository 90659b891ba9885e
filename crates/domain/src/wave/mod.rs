//! Maintenance waves: which instances go next, and how far a wave is.

mod wave_plan;
mod wave_record;

pub use {
    wave_plan::{WaveOrder, WavePlan, WaveView},
    wave_record::{WaveRecord, WaveStatus},
};
