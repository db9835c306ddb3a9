//! List of live and leaving VMs. It lags and may be wrong, so it is only a hint.

use fes_protocol::FastSet;
use fes_protocol::VmName;

/// State of a VM on the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM will be removed.
    Leaving,
}

/// A VM on the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmHint {
    /// Name of the VM.
    pub vm: VmName,
    /// State of the VM.
    pub state: VmState,
}

/// The last list that was read. Neither the presence nor the absence of a VM proves whether it
/// runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VmList {
    leaving: FastSet<VmName>,
}

impl VmList {
    /// Replaces the list.
    pub fn set(&mut self, hints: &[VmHint]) {
        let leaving = hints.iter().filter(|hint| hint.state == VmState::Leaving);
        self.leaving = leaving.map(|hint| hint.vm.clone()).collect();
    }

    /// Returns whether the VM is listed as leaving.
    #[must_use]
    pub fn is_leaving(&self, vm: &VmName) -> bool {
        self.leaving.contains(vm)
    }
}
