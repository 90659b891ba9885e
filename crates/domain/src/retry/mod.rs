//! When a call is repeated.

mod answer_delay;

pub use answer_delay::AnswerDelay;
