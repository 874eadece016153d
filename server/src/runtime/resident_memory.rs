//! The memory of the process that is resident, as the operating system counts it.

use std::fs::File;
use std::io::Result;
use std::os::unix::fs::FileExt;

/// The size of the buffer for the file, which holds seven numbers.
const STATM_BYTES: usize = 128;
/// The index of the resident pages among the numbers.
const RESIDENT_FIELD: usize = 1;

/// The open file from which the resident memory is read.
pub struct ResidentMemory {
    statm: File,
    page_bytes: usize,
}

impl ResidentMemory {
    /// Opens the file.
    ///
    /// # Errors
    /// The proc file system is not mounted, or no descriptor is free.
    pub fn open() -> Result<ResidentMemory> {
        let statm = File::open("/proc/self/statm")?;
        // SAFETY: sysconf(3) has no pointers.
        let page_bytes = unsafe { libc::sysconf(libc::_SC_PAGESIZE) };
        Ok(ResidentMemory { statm, page_bytes: usize::try_from(page_bytes).unwrap_or(0) })
    }

    /// The resident memory in bytes; `None` if it cannot be read now.
    pub fn bytes(&self) -> Option<usize> {
        let mut buffer = [0; STATM_BYTES];
        let length = self.statm.read_at(&mut buffer, 0).ok()?;
        let text = std::str::from_utf8(&buffer[..length]).ok()?;
        let pages: usize = text.split_ascii_whitespace().nth(RESIDENT_FIELD)?.parse().ok()?;
        Some(pages * self.page_bytes)
    }
}
