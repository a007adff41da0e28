Feature: The configuration store
  Four core machines; three of them are the seeds. A change is acknowledged once two disks have it.

  Scenario: A start of all machines
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

  Scenario: All lose power right after an acknowledgement
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
    When a change is acknowledged, all machines lose power for 1 s and the disk of <member> is empty
    Then a change is acknowledged within 3 s
    And nothing acknowledged is lost

    Examples:
      | member      |
      | the primary |
      | the backup  |
      | a voter     |
      | a stand-by  |

  Scenario: The primary is partitioned from all others
    Given a core at work
    When the primary is cut off from all others
    And 1.3 s pass
    Then the old primary acknowledges nothing
    And a change is acknowledged within 1.7 s by the others
    When the partition ends
    And 1 s pass
    Then nothing acknowledged is lost

  Scenario: A partition into two pairs
    Given a core at work
    When the primary and the stand-by are cut off from the others
    And 1.3 s pass
    Then the old primary acknowledges nothing
    And a change is acknowledged within 1.7 s by the others
    When the partition ends
    And 1 s pass
    Then nothing acknowledged is lost

  Scenario: The primary can send but not receive
    Given a core at work
    When no message reaches the primary
    And 1.3 s pass
    Then the old primary acknowledges nothing
    And a change is acknowledged within 1.7 s by the others
    When the partition ends
    And 1 s pass
    Then nothing acknowledged is lost

  Scenario: The backup is lost
    Given a core at work
    When the backup loses power
    Then a change is acknowledged within 1.5 s
    And nothing acknowledged is lost

  Scenario: The backup is unreachable for the primary
    Given a core at work
    When the backup is cut off from the primary, whose disk is lost with all power after an acknowledgement
    Then a change is acknowledged within 3 s
    And nothing acknowledged is lost

  Scenario: Only a voter without data runs until the backup restarts
    Given a core at work
    When all are killed, and the primary stays down, the backup for 2.2 s
    Then a change is acknowledged within 3 s
    And nothing acknowledged is lost

  Scenario: A frozen primary thaws after its lease has expired
    Given a core at work
    When the primary is frozen 6 ms into a change
    And 4 s pass
    Then a change is acknowledged within 0.1 s by the others
    When the primary thaws
    Then the change in progress was not acknowledged
    And the old primary can't write
    And nothing acknowledged is lost

  Scenario Outline: A faulty disk
    Given a core at work
    When the disk of <member> <fault>
    Then a change is acknowledged within 3.5 s
    And nothing acknowledged is lost

    Examples:
      | member      | fault   |
      | the primary | hangs   |
      | the backup  | hangs   |
      | the primary | refuses |
      | the backup  | refuses |
      | the primary | is slow |
      | the backup  | is slow |

  Scenario: The primary shuts down gracefully
    Given a core at work
    When the primary is told to stop
    Then a change is acknowledged within 0.5 s
    And nothing acknowledged is lost

  Scenario: All machines are replaced, and the old ones return
    Given a core at work
    When the machines are replaced one after the other by new ones
    Then a change is acknowledged within 0.1 s
    When the old machines return
    And 3 s pass
    Then only new machines vote
    And a change is acknowledged within 0.1 s
    And nothing acknowledged is lost

  Scenario: A store with a damaged database starts as a new member
    Given a store on a real disk with one record
    When its database is overwritten
    Then it loads as an empty disk and can be written again
