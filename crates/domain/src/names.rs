//! Checked names, shared as immutable strings.

use {
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{fmt, sync::Arc},
};

/// Longest name accepted, in bytes.
pub const NAME_BYTES_MAX: usize = 128;

/// Why a text is no name.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "'{text}' is no {kind}: use 1 to {NAME_BYTES_MAX} letters, digits, '-', '_', '.' or ':'"
))]
pub struct NameFault {
    kind: &'static str,
    text: String,
}

fn checked(kind: &'static str, text: &str) -> Result<Arc<str>, NameFault> {
    let fits = !text.is_empty() && text.len() <= NAME_BYTES_MAX;
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    if fits && text.bytes().all(plain) {
        return Ok(Arc::from(text));
    }
    let text = text.chars().take(NAME_BYTES_MAX).collect();
    Err(NameFault { kind, text })
}

macro_rules! name_type {
    ($(#[doc = $doc:literal] $name:ident, $kind:literal;)+) => {
        $(
            #[doc = $doc]
            #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
            #[serde(try_from = "String", into = "String")]
            pub struct $name(Arc<str>);

            impl $name {
                /// The name as text.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl TryFrom<&str> for $name {
                type Error = NameFault;

                fn try_from(text: &str) -> Result<Self, NameFault> {
                    checked($kind, text).map(Self)
                }
            }

            impl TryFrom<String> for $name {
                type Error = NameFault;

                fn try_from(text: String) -> Result<Self, NameFault> {
                    Self::try_from(text.as_str())
                }
            }

            impl std::str::FromStr for $name {
                type Err = NameFault;

                fn from_str(text: &str) -> Result<Self, NameFault> {
                    Self::try_from(text)
                }
            }

            impl From<$name> for String {
                fn from(name: $name) -> Self {
                    Self::from(&*name.0)
                }
            }

            impl fmt::Display for $name {
                fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                    f.write_str(&self.0)
                }
            }

            impl fmt::Debug for $name {
                fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                    f.write_str(&self.0)
                }
            }
        )+
    };
}

name_type! {
    #[doc = "Name of a team, the customer whose share and ceiling the table gives."]
    TeamName, "team name";
    #[doc = "Name of a pool of instances."]
    PoolName, "pool name";
    #[doc = "Name of a queue."]
    QueueName, "queue name";
    #[doc = "Name of an instance, an executor or a worker."]
    InstanceName, "instance name";
    #[doc = "Name of one life of a worker."]
    WorkerName, "worker name";
    #[doc = "Name of an entry instance."]
    EntryName, "entry name";
    #[doc = "Name of a data centre."]
    CentreName, "data centre name";
    #[doc = "Name of a rack."]
    RackName, "rack name";
    #[doc = "Name of a job, chosen by its submitter or made by the entry."]
    JobName, "job name";
    #[doc = "Identifier of a request."]
    RequestName, "request identifier";
    #[doc = "Name of a maintenance wave."]
    WaveName, "wave name";
    #[doc = "SHA-256 digest of a key in hexadecimal; the key itself is never kept."]
    KeyDigest, "key digest";
}

impl KeyDigest {
    /// Digests the key text as a caller presents it.
    ///
    /// # Panics
    ///
    /// Never: a hexadecimal digest is always a name.
    pub fn of(key: &str) -> Self {
        use {sha2::Digest, std::fmt::Write};
        let mut text = String::with_capacity(64);
        for byte in sha2::Sha256::digest(key.as_bytes()) {
            let _infallible = write!(text, "{byte:02x}");
        }
        Self(Arc::from(text))
    }
}

/// One life of an entry process: its name and the incarnation it chose at start.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryStamp {
    /// The entry.
    pub name: EntryName,
    /// A number no other life of this entry has.
    pub incarnation: u64,
}

impl fmt::Display for EntryStamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{:x}", self.name, self.incarnation)
    }
}

impl std::str::FromStr for EntryStamp {
    type Err = NameFault;

    fn from_str(text: &str) -> Result<Self, NameFault> {
        let fault = || NameFault {
            kind: "entry stamp",
            text: text.to_owned(),
        };
        let (name, incarnation) = text.split_once('~').ok_or_else(fault)?;
        let incarnation = u64::from_str_radix(incarnation, 16)
            .ok()
            .ok_or_else(fault)?;
        Ok(Self {
            name: EntryName::try_from(name)?,
            incarnation,
        })
    }
}
