//! Small `Copy` identifiers, and the checked names that operators use.

use std::{fmt, str::FromStr};

/// A type that indexes an [`Arena`](crate::Arena).
pub trait Key: Copy {
    /// The key of the element at `index`.
    fn from_index(index: usize) -> Self;
    /// The position of the element in its arena.
    fn index(self) -> usize;
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident($repr:ty)) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub $repr);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl Key for $name {
            fn from_index(index: usize) -> $name {
                $name(index as $repr)
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

number_id! {
    /// A data centre: its index in the sorted list of data centres in the settings.
    DcId(u16)
}
number_id! {
    /// A VM: its number in the platform's VM list; a number is never reused.
    VmId(u32)
}
number_id! {
    /// A service or batch job, numbered by the ledger in the order of creation.
    JobId(u32)
}
number_id! {
    /// A team with quotas, numbered by the ledger in the order of creation.
    TeamId(u16)
}
number_id! {
    /// The position of a record in the platform's log.
    Offset(u64)
}
number_id! {
    /// The fencing token of a data centre's holder: the offset of its claim, plus one.
    ///
    /// Zero is never used, so that a worker that has not seen an epoch yet accepts any.
    Epoch(u64)
}
number_id! {
    /// The version of the declared state: the offset of the last accepted change, plus one.
    Generation(u64)
}
number_id! {
    /// The number of a start of a task; the first start is incarnation 1.
    Incarnation(u32)
}
number_id! {
    /// A request of a caller, unique across entry VMs.
    RequestId(u64)
}

/// One task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The index of the task in its job, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// A name given by operators: 1 to 63 of `a-z`, `0-9` and `-`, starting with a letter.
///
/// The limit is that of a DNS label, so that a name can serve in addresses.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name(Box<str>);

/// Why a text is not a valid [`Name`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// The text is empty or longer than 63 bytes.
    #[error("a name has 1 to 63 characters")]
    Length,
    /// The text has a character outside `a-z`, `0-9`, `-`, or does not start with a letter.
    #[error("a name starts with a-z and holds only a-z, 0-9 and '-'")]
    Character,
}

impl Name {
    /// The greatest length of a name, in bytes.
    pub const MAX_LEN: usize = 63;

    /// Returns `text` as a name; fails if it is not valid.
    pub fn new(text: &str) -> Result<Name, NameError> {
        if text.is_empty() || text.len() > Name::MAX_LEN {
            return Err(NameError::Length);
        }
        let starts_with_letter = text.as_bytes()[0].is_ascii_lowercase();
        let has_only_allowed_characters =
            text.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-');
        if !(starts_with_letter && has_only_allowed_characters) {
            return Err(NameError::Character);
        }
        Ok(Name(text.into()))
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Name {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Name, NameError> {
        Name::new(text)
    }
}
