//! Tests of the transfer of the registry in parts.

use arbtest::arbtest;
use protocol::transfer::{Assembly, Error, PART_BYTES, Package, Part, Request};
use state::registry::{Document, Registry};

/// Returns a registry whose package has several parts; its content does not compress.
fn registry(revision: u64) -> Registry {
    let mut word = revision;
    let mut next = || {
        word = word.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (word >> 56) as u8
    };
    let content = (0..3 * PART_BYTES).map(|_| next()).collect();
    Registry {
        revision,
        document: Some(Document { version: revision * 10, content }),
        ..Registry::default()
    }
}

/// Requests parts of `packages` in turn until the registry is complete; returns it with the number of
/// parts. A package answers with its first part if another revision is requested.
fn receive(packages: &[&Package]) -> (Registry, usize) {
    let mut assembly = Assembly::default();
    for (count, package) in (1..1_000).zip(packages.iter().cycle()) {
        let Request { revision, offset } = assembly.next();
        let offset = if revision == package.revision() { offset } else { 0 };
        if let Some(registry) = assembly.add(package.part(offset)).unwrap() {
            return (registry, count);
        }
    }
    panic!("the registry is not complete after 1,000 parts");
}

#[test]
fn a_registry_arrives_in_parts() {
    let package = Package::new(&registry(3)).unwrap();
    let (received, count) = receive(&[&package]);
    assert_eq!(received, registry(3));
    assert_eq!(count, package.size().div_ceil(PART_BYTES));
}

#[test]
fn a_transfer_continues_at_another_control_instance() {
    let packages = [Package::new(&registry(3)).unwrap(), Package::new(&registry(3)).unwrap()];
    let (received, count) = receive(&[&packages[0], &packages[1]]);
    assert_eq!(received, registry(3));
    assert_eq!(count, packages[0].size().div_ceil(PART_BYTES), "the transfer began again");
}

#[test]
fn a_transfer_whose_revision_is_replaced_completes_with_the_next_one() {
    let old = Package::new(&registry(3)).unwrap();
    let new = Package::new(&registry(4)).unwrap();
    let mut assembly = Assembly::default();
    assert_eq!(assembly.add(old.part(0)), Ok(None));
    assert_eq!(assembly.add(new.part(0)), Ok(None));
    assert_eq!(assembly.next(), Request { revision: 4, offset: PART_BYTES as u64 });
}

#[test]
fn parts_that_do_not_belong_together_are_not_decoded() {
    let package = Package::new(&registry(3)).unwrap();
    let mut assembly = Assembly::default();
    let mut damaged = package.part(0);
    damaged.content[10] ^= 1;
    assert_eq!(assembly.add(damaged), Ok(None));
    let result = loop {
        match assembly.add(package.part(assembly.next().offset)) {
            Ok(None) => {}
            result => break result,
        }
    };
    assert_eq!(result, Err(Error::Digest(3)));
    assert_eq!(assembly.next(), Request::default(), "the assembly is not empty");
}

#[test]
fn a_package_that_states_a_huge_size_is_refused() {
    let content = u32::MAX.to_le_bytes().to_vec();
    let digest = state::id::Digest::of(&content);
    let part = Part { revision: 3, size: 4, digest, offset: 0, content };
    assert_eq!(Assembly::default().add(part), Err(Error::Size(u32::MAX as usize)));
}

#[test]
fn any_parts_in_any_order_give_the_registry_or_an_error() {
    let packages = [Package::new(&registry(3)).unwrap(), Package::new(&registry(4)).unwrap()];
    arbtest(|input| {
        let mut assembly = Assembly::default();
        while !input.is_empty() {
            let package = &packages[usize::from(input.arbitrary::<bool>()?)];
            let offset = u64::from(input.int_in_range(0..=4_u8)?) * PART_BYTES as u64;
            let offset = if input.ratio(1, 2)? { assembly.next().offset } else { offset };
            if let Ok(Some(received)) = assembly.add(package.part(offset)) {
                assert_eq!(received, registry(received.revision));
            }
        }
        Ok(())
    })
    .budget_ms(300);
}
