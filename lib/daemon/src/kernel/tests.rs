//! Tests of `kernel`.

use super::*;

#[test]
fn test_kernel_find_by_name_and_type() {
    let kernel = Kernel::default();
    kernel.register("answer", 42_u32);
    assert_eq!(kernel.find::<u32>("answer"), Ok(42));
    assert_eq!(
        kernel.find::<u64>("answer"),
        Err(KernelError::OtherType("answer"))
    );
    assert_eq!(kernel.find::<u32>("x"), Err(KernelError::Unknown("x")));
}
