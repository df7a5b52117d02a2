Feature: metrics of jobs by size

  Scenario: a large job expires and ends
    # Guards against large jobs that go unserved behind totals that look well.
    Given an engine whose jobs are counted
    And 20 ended jobs of 1 tasks
    When a job of 8 tasks ends 30 s after its first task
    Then the metrics count
      | series                                                                                    | count |
      | jobs_late_total{begun="true",expired="true",queue="queue",size="over double"}               | 1     |
      | jobs_ended_total{lateness="expired",phase="completed",queue="queue",size="over double"}     | 1     |
      | jobs_ended_total{lateness="in_time",phase="completed",queue="queue",size="under double"}     | 20    |
