//! The name of one task.

use {
    crate::names::JobName,
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{fmt, str::FromStr},
};

/// Why a text is not a task name.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("'{text}' names no task; expected JOB.OCCURRENCE.STEP.INDEX"))]
pub struct TaskNameFault {
    text: String,
}

/// One task of a step, in one occurrence of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TaskName {
    /// The job.
    pub job: JobName,
    /// Index of the occurrence, from 0.
    pub occurrence: u32,
    /// Index of the step, from 0.
    pub step: u16,
    /// Index of the task in its step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for TaskName {
    type Err = TaskNameFault;

    fn from_str(text: &str) -> Result<Self, TaskNameFault> {
        let parsed = || {
            let mut parts = text.rsplitn(4, '.');
            let index = parts.next()?.parse().ok()?;
            let step = parts.next()?.parse().ok()?;
            let occurrence = parts.next()?.parse().ok()?;
            let job = JobName::try_from(parts.next()?).ok()?;
            Some(Self {
                job,
                occurrence,
                step,
                index,
            })
        };
        parsed().ok_or_else(|| TaskNameFault {
            text: text.to_owned(),
        })
    }
}

impl TryFrom<String> for TaskName {
    type Error = TaskNameFault;

    fn try_from(text: String) -> Result<Self, TaskNameFault> {
        text.parse()
    }
}

impl From<TaskName> for String {
    fn from(name: TaskName) -> Self {
        name.to_string()
    }
}
