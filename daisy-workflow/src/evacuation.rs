//! Data centres that operators have asked to evacuate: their workers get no new tasks.

use std::sync::Arc;

use daisy_model::SortedMap;

/// What an operators' record says of the evacuation of a data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvacuationRequest {
    /// The data centre's workers get no new tasks.
    Begin,
    /// The data centre's workers get new tasks again.
    End,
}

/// The data centres that are evacuated, each with the offset of the record that asked for it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations(SortedMap<Arc<str>, u64>);

impl Evacuations {
    /// Applies a request that was recorded at `offset`.
    pub fn apply(&mut self, data_centre: &str, offset: u64, request: EvacuationRequest) {
        match request {
            EvacuationRequest::Begin => self.0.insert(data_centre.into(), offset),
            EvacuationRequest::End => self.0.remove(&Arc::from(data_centre)),
        };
    }

    /// Keeps what `earlier` says of a data centre, for a record that cannot be read.
    pub fn keep_from(&mut self, earlier: &Evacuations, data_centre: &str) {
        if let Some(offset) = earlier.offset(data_centre) {
            self.0.insert(data_centre.into(), offset);
        }
    }

    /// Whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.offset(data_centre).is_some()
    }

    /// Returns the offset of the record that asked for the evacuation of a data centre, if it is
    /// evacuated.
    fn offset(&self, data_centre: &str) -> Option<u64> {
        // Few data centres are evacuated at a time.
        self.iter().find(|(it, _)| *it == data_centre).map(|(_, offset)| offset)
    }

    /// Iterates over the evacuated data centres and the offsets of their records, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, u64)> {
        self.0.iter().map(|(data_centre, offset)| (&**data_centre, *offset))
    }
}
