//! Questions between entry VMs, each on a stream of its own.

use bincode::{Decode, Encode};
use daisy_model::{DcId, Name, Resources, Vm, VmId, VmRole, VmStatus};
use daisy_query::Live;
use daisy_routing::{KeyAnswer, KeyQuery};

use crate::{
    WireError,
    peer::{
        key::{KeyAnswerWire, KeyQueryWire},
        live::LiveWire,
    },
};

/// A question of one entry VM to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Question {
    /// The key protocol of `daisy-routing`.
    Key(KeyQuery),
    /// The platform's VM list, if the peer has a newer one.
    Vms {
        /// The version that the asker has.
        known: Option<u64>,
    },
    /// What the holder of a data centre knows of it.
    Live,
}

/// The answer to a [`Question`].
#[derive(Debug, Clone)]
pub enum Answer {
    /// The answer to [`Question::Key`].
    Key(KeyAnswer),
    /// The VM list and its version.
    Vms {
        /// Grows with each change of the list.
        version: u64,
        /// All VMs.
        vms: Vec<Vm>,
    },
    /// The answer to [`Question::Live`].
    Live(Box<Live>),
    /// The entry VM asked cannot answer.
    Unable,
}

/// See [`Vm`].
#[derive(Debug, Encode, Decode)]
pub struct VmWire {
    id: u32,
    name: String,
    dc: u16,
    rack: u16,
    worker: bool,
    leaving: bool,
    control: std::net::SocketAddr,
    backend: Option<std::net::SocketAddr>,
    capacity: (u32, u32, u32),
}

/// See [`Question`].
#[derive(Debug, Encode, Decode)]
pub enum QuestionWire {
    /// See [`Question::Key`].
    Key(KeyQueryWire),
    /// See [`Question::Vms`].
    Vms {
        /// The version that the asker has.
        known: Option<u64>,
    },
    /// See [`Question::Live`].
    Live,
}

/// See [`Answer`].
#[derive(Debug, Encode, Decode)]
pub enum AnswerWire {
    /// See [`Answer::Key`].
    Key(KeyAnswerWire),
    /// See [`Answer::Vms`].
    Vms {
        /// Grows with each change of the list.
        version: u64,
        /// All VMs.
        vms: Vec<VmWire>,
    },
    /// See [`Answer::Live`].
    Live(LiveWire),
    /// See [`Answer::Unable`].
    Unable,
}

impl From<Question> for QuestionWire {
    fn from(question: Question) -> QuestionWire {
        match question {
            Question::Key(query) => QuestionWire::Key(query.into()),
            Question::Vms { known } => QuestionWire::Vms { known },
            Question::Live => QuestionWire::Live,
        }
    }
}

impl TryFrom<QuestionWire> for Question {
    type Error = WireError;

    fn try_from(question: QuestionWire) -> Result<Question, WireError> {
        Ok(match question {
            QuestionWire::Key(query) => Question::Key(query.try_into()?),
            QuestionWire::Vms { known } => Question::Vms { known },
            QuestionWire::Live => Question::Live,
        })
    }
}

impl From<Answer> for AnswerWire {
    fn from(answer: Answer) -> AnswerWire {
        match answer {
            Answer::Key(answer) => AnswerWire::Key(answer.into()),
            Answer::Vms { version, vms } => {
                AnswerWire::Vms { version, vms: vms.into_iter().map(VmWire::from).collect() }
            }
            Answer::Live(live) => AnswerWire::Live(LiveWire::from(&*live)),
            Answer::Unable => AnswerWire::Unable,
        }
    }
}

impl TryFrom<AnswerWire> for Answer {
    type Error = WireError;

    fn try_from(answer: AnswerWire) -> Result<Answer, WireError> {
        Ok(match answer {
            AnswerWire::Key(answer) => Answer::Key(answer.into()),
            AnswerWire::Vms { version, vms } => Answer::Vms {
                version,
                vms: vms.into_iter().map(Vm::try_from).collect::<Result<_, _>>()?,
            },
            AnswerWire::Live(live) => Answer::Live(Box::new(live.into())),
            AnswerWire::Unable => Answer::Unable,
        })
    }
}

impl From<Vm> for VmWire {
    fn from(vm: Vm) -> VmWire {
        let Resources { cpu_milli, memory_mib, accelerators } = vm.capacity;
        VmWire {
            id: vm.id.0,
            name: vm.name.to_string(),
            dc: vm.dc.0,
            rack: vm.rack,
            worker: vm.role == VmRole::Worker,
            leaving: vm.status == VmStatus::Leaving,
            control: vm.control,
            backend: vm.backend,
            capacity: (cpu_milli, memory_mib, accelerators),
        }
    }
}

impl TryFrom<VmWire> for Vm {
    type Error = WireError;

    fn try_from(vm: VmWire) -> Result<Vm, WireError> {
        let name = Name::new(&vm.name)
            .map_err(|e| WireError::Field { field: "name", reason: e.to_string() })?;
        let (cpu_milli, memory_mib, accelerators) = vm.capacity;
        Ok(Vm {
            id: VmId(vm.id),
            name,
            dc: DcId(vm.dc),
            rack: vm.rack,
            role: if vm.worker { VmRole::Worker } else { VmRole::Entry },
            status: if vm.leaving { VmStatus::Leaving } else { VmStatus::Live },
            control: vm.control,
            backend: vm.backend,
            capacity: Resources { cpu_milli, memory_mib, accelerators },
        })
    }
}
