//! Limits on file descriptors and buffer memory under random operations: each descriptor and byte is released exactly
//! once, and no limit is exceeded.

use proptest::prelude::*;
use routing::time::Timestamp;
use server::runtime::resource_limits::{BufferCharge, Descriptor, DescriptorClass, ResourceLimits};
use std::net::SocketAddr;
use std::sync::Arc;

const DESCRIPTORS: usize = 64;
const MEMORY: usize = 3 << 10;
const CLASSES: [DescriptorClass; 4] = [
    DescriptorClass::Clients,
    DescriptorClass::Endpoints,
    DescriptorClass::Discovery,
    DescriptorClass::RejectedClients,
];

#[derive(Clone, Copy, Debug)]
enum Step {
    AcquireForEndpoint(u16),
    AcquireForClient,
    AcquireForDiscovery,
    AcquireForRejected,
    ReleaseDescriptor(usize),
    Charge(usize),
    ReleaseCharge,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0u16..3).prop_map(Step::AcquireForEndpoint),
        Just(Step::AcquireForClient),
        Just(Step::AcquireForDiscovery),
        Just(Step::AcquireForRejected),
        any::<usize>().prop_map(Step::ReleaseDescriptor),
        (0usize..1 << 16).prop_map(Step::Charge),
        Just(Step::ReleaseCharge),
    ]
}

/// The descriptors and charges that the test has acquired.
struct Held {
    limits: Arc<ResourceLimits>,
    descriptors: Vec<(DescriptorClass, Descriptor)>,
    charges: Vec<(usize, BufferCharge)>,
}

impl Held {
    fn apply(&mut self, step: Step) {
        match step {
            Step::AcquireForEndpoint(port) => {
                let addr = SocketAddr::from(([127, 0, 0, 1], port));
                let descriptor = self.limits.acquire_for_endpoint(addr);
                self.keep(DescriptorClass::Endpoints, descriptor);
            }
            Step::AcquireForClient => {
                let client = self.limits.acquire_for_client(Timestamp(0));
                self.keep(DescriptorClass::Clients, client.map(|client| client.descriptor));
            }
            Step::AcquireForDiscovery => self.acquire(DescriptorClass::Discovery),
            Step::AcquireForRejected => self.acquire(DescriptorClass::RejectedClients),
            Step::ReleaseDescriptor(index) if !self.descriptors.is_empty() => {
                let index = index % self.descriptors.len();
                drop(self.descriptors.swap_remove(index));
            }
            Step::ReleaseDescriptor(_) => {}
            Step::Charge(bytes) => {
                let mut charge = self.limits.buffer_charge();
                charge.set(bytes);
                self.charges.push((bytes, charge));
            }
            Step::ReleaseCharge => _ = self.charges.pop(),
        }
    }

    fn acquire(&mut self, class: DescriptorClass) {
        let descriptor = self.limits.acquire(class);
        self.keep(class, descriptor);
    }

    fn keep(&mut self, class: DescriptorClass, descriptor: Option<Descriptor>) {
        self.descriptors.extend(descriptor.map(|descriptor| (class, descriptor)));
    }

    fn count(&self, class: DescriptorClass) -> usize {
        self.descriptors.iter().filter(|(held, _)| *held == class).count()
    }

    fn bytes(&self) -> usize {
        self.charges.iter().map(|(bytes, _)| bytes).sum()
    }
}

proptest! {
    #[test]
    fn each_descriptor_and_each_byte_is_released_once(
        steps in prop::collection::vec(any_step(), 1..200),
        rejects_clients: bool,
    ) {
        let limits = ResourceLimits::new(DESCRIPTORS, MEMORY, rejects_clients);
        let mut held = Held { limits: limits.clone(), descriptors: Vec::new(), charges: Vec::new() };
        for step in steps {
            let before = held.descriptors.len();
            held.apply(step);
            let counts = CLASSES.map(|class| held.count(class));
            prop_assert_eq!(CLASSES.map(|class| limits.in_use(class)), counts);
            prop_assert!(counts.iter().sum::<usize>() < DESCRIPTORS, "all descriptors are in use");
            prop_assert!(rejects_clients || counts[3] == 0, "a descriptor was acquired for a rejection although none is reserved");
            let below_limit = counts[0] <= limits.limit(DescriptorClass::Clients);
            if matches!(step, Step::AcquireForClient) && below_limit {
                prop_assert_eq!(held.descriptors.len(), before + 1, "descriptors of rejected clients kept a client from being admitted");
            }
            prop_assert_eq!(limits.is_memory_short(), held.bytes() > MEMORY / 3);
        }
        drop(held);
        prop_assert_eq!(CLASSES.map(|class| limits.in_use(class)), [0; 4]);
        prop_assert!(!limits.is_memory_short());
    }
}
