//! Settings of the C library's allocator, which Rust's default allocator uses.

/// Allocations from this size on are mapped on their own, so that their memory is given back when they are freed
/// and bodies that grow are not copied.
const MAPPED_BYTES_MIN: libc::c_int = 128 * 1_024;
/// Unused memory at the end of the heap that is kept.
const KEPT_BYTES: libc::c_int = 1_024 * 1_024;
/// Heaps that threads share. Each has gaps of its own, and by default there are eight for each core.
const HEAPS_MAX: libc::c_int = 2;

/// Keeps the memory of large bodies apart from the heap. By default the allocator maps less and less on its own with
/// each large body that is freed, and the gaps that bodies leave in the heap take about as much memory as they did.
#[cfg(target_env = "gnu")]
#[allow(unsafe_code, reason = "the C library offers this only as a function")]
pub(crate) fn set_up() {
    // SAFETY: the parameters exist, and no other thread has been started. An error leaves the default.
    unsafe {
        libc::mallopt(libc::M_MMAP_THRESHOLD, MAPPED_BYTES_MIN);
        libc::mallopt(libc::M_TRIM_THRESHOLD, KEPT_BYTES);
        libc::mallopt(libc::M_ARENA_MAX, HEAPS_MAX);
    }
}

/// Does nothing, as other C libraries have no such settings.
#[cfg(not(target_env = "gnu"))]
pub(crate) fn set_up() {}
