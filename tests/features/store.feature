Feature: The replicated configuration store
  Four core machines, three of which are seed nodes. A change is acknowledged once it is on two disks.

  Scenario: A start without faults
    Given a core that has just started
    When 2 s pass
    Then a change is acknowledged within 0.1 s
    And all machines hold the newest acknowledged version within 0.3 s

  Scenario: A start with one seed down
    Given a core whose second seed doesn't start
    When 6 s pass
    Then a change is acknowledged within 0.1 s

  Scenario: The primary is killed
    Given a core at work
    When the primary is killed
    Then a change is acknowledged within 3 s
    And nothing acknowledged is lost

  Scenario Outline: The primary is killed during a change
    Given a core at work
    When the primary is killed <instant> ms into a change
    Then a change is acknowledged within 3 s
    And nothing acknowledged is lost

    Examples:
      | instant |
      | 1       |
      | 3       |
      | 5       |
      | 7       |
      | 9       |
      | 11      |
      | 13      |
      | 16      |

  Scenario: All machines lose power right after an acknowledgement
    Given a core at work
    When a change is acknowledged and all machines lose power for 1 s
    Then a change is acknowledged within 3 s
    And nothing acknowledged is lost

  Scenario: All processes are killed right after an acknowledgement
    Given a core at work
    When a change is acknowledged and all processes are killed for 0.5 s
    Then a change is acknowledged within 3 s
    And nothing acknowledged is lost

  Scenario Outline: One disk is lost when all machines lose power
    Given a core at work
    When a change is acknowledged, all machines lose power for 1 s and the disk of <role> is empty
    Then a change is acknowledged within 3 s
    And nothing acknowledged is lost

    Examples:
      | role        |
      | the primary |
      | the backup  |
      | a voter     |
      | a stand-by  |

  Scenario: The primary is partitioned from all others
    Given a core at work
    When the primary is partitioned from all others
    And 1.3 s pass
    Then the old primary acknowledges nothing
    And a change is acknowledged within 1.7 s by the others
    When the partition heals
    And 1 s pass
    Then nothing acknowledged is lost

  Scenario: A partition into two halves
    Given a core at work
    When the primary and the stand-by are partitioned from the others
    And 1.3 s pass
    Then the old primary acknowledges nothing
    And a change is acknowledged within 1.7 s by the others
    When the partition heals
    And 1 s pass
    Then nothing acknowledged is lost

  Scenario: The primary receives nothing, while its own messages arrive
    Given a core at work
    When the primary receives no messages
    And 1.3 s pass
    Then the old primary acknowledges nothing
    And a change is acknowledged within 1.7 s by the others
    When the partition heals
    And 1 s pass
    Then nothing acknowledged is lost

  Scenario: The backup is lost
    Given a core at work
    When the backup loses power
    Then a change is acknowledged within 1.5 s
    And nothing acknowledged is lost

  Scenario: The backup can't be written to
    Given a core at work
    When the backup receives nothing from the primary, and all power and the primary's disk are lost after an acknowledgement
    Then a change is acknowledged within 3 s
    And nothing acknowledged is lost

  Scenario: Only a voter without data is left, until the backup is back
    Given a core at work
    When all machines are killed, the primary stays down, and the backup restarts after 2.2 s
    Then a change is acknowledged within 3 s
    And nothing acknowledged is lost

  Scenario: A frozen primary resumes after its lease expired
    Given a core at work
    When the primary is frozen 6 ms into a change
    And 4 s pass
    Then a change is acknowledged within 0.1 s by the others
    When the primary resumes
    Then the change in progress at the freeze was not acknowledged
    And the old primary itself can't acknowledge a change
    And nothing acknowledged is lost

  Scenario Outline: A faulty disk
    Given a core at work
    When the disk of <role> <fault>
    Then a change is acknowledged within 3.5 s
    And nothing acknowledged is lost

    Examples:
      | role        | fault   |
      | the primary | hangs   |
      | the backup  | hangs   |
      | the primary | refuses |
      | the backup  | refuses |
      | the primary | is slow |
      | the backup  | is slow |

  Scenario: The primary leaves
    Given a core at work
    When the primary is shut down
    Then a change is acknowledged within 0.5 s
    And nothing acknowledged is lost

  Scenario: All machines are replaced, and the old ones come back
    Given a core at work
    When the machines are replaced by new ones one after the other
    Then a change is acknowledged within 0.1 s
    When the old machines come back
    And 3 s pass
    Then only new machines vote
    And a change is acknowledged within 0.1 s
    And nothing acknowledged is lost

  Scenario: A corrupt database loads as an empty disk
    Given a store on a real disk with two pages
    When its database is overwritten
    Then it loads as an empty disk and can be written again
