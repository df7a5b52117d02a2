"""Jobs whose records this owner can't read.

A record that another version wrote, or that was cut short, says nothing about its
job. So the job isn't ended: its rows stay as they are and its runs go on, until a
later owner can read the record or its caller cancels it.
"""

from waxwingford.scheduling._state import JobPhase


class UnreadJobs:
    """Jobs whose records can't be read, and ends of jobs without any state.

    :ivar phase_by_job: phases of the jobs as far as they can be told.
    :ivar end_by_job: final phases that are to be stored with the next batch.
    """

    def __init__(self) -> None:
        self.phase_by_job: dict[str, JobPhase] = {}
        self.end_by_job: dict[str, JobPhase] = {}

    def add(self, job_id: str) -> None:
        """Add a job of which no run is known to have begun."""
        self.phase_by_job[job_id] = JobPhase.queued

    def note_begun(self, job_id: str) -> None:
        """Note that a server has accepted or listed a run of a job."""
        self.phase_by_job[job_id] = JobPhase.running

    def end(self, job_id: str, phase: JobPhase) -> None:
        """End a job, which is stored with the next batch.

        :param phase: final phase.
        """
        self.phase_by_job.pop(job_id, None)
        self.end_by_job[job_id] = phase
