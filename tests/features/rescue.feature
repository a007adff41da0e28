Feature: More is lost than the store is made to bear
  Four core machines; three of them vote, one stands by. Nothing is founded anew but by operators' word.

  Scenario: The disks of primary and backup are lost at once
    Given a core that lost the disks of the primary and the backup
    Then nothing is acknowledged for 20 s
    And a rescue is due
    When operators rescue it
    Then the newest acknowledged version is in force, under an epoch of the next million
    And a change is acknowledged within 0.3 s

  Scenario: Who is out of reach comes back or is named, each
    Given a core at work
    When the primary and a voter lose power
    And 4 s pass
    Then a rescue waits for each that is not named, and for one that is named and answers
    When the voter starts again
    And 6 s pass
    Then a rescue waits, as "serves: nothing is lost"
    And a change is acknowledged within 0.1 s

  Scenario: A majority answers
    Given a core at work
    When the primary loses power
    And 1.4 s pass
    Then a rescue waits, as "the store recovers by itself"
    And a change is acknowledged within 2 s

  Scenario: A token of another state
    Given a core that lost the disks of the primary and the backup
    When operators look, and then a stand-by is killed
    Then their token is refused, and one that was made up

  Scenario: Two operators rescue at once
    Given a core that lost the disks of the primary and the backup
    When two operators rescue it at one moment, by different machines
    Then one of them founded a view that all members follow
    And a change is acknowledged within 0.3 s

  Scenario Outline: The voters that were given up come back together
    Given a core at work
    When the primary and a voter <leave>
    And operators rescue it, naming both
    And <return>
    Then the old primary serves nothing of its old view
    And all members follow one view
    And a change is acknowledged within 0.3 s
    And nothing acknowledged is lost

    Examples:
      | leave      | return                                      |
      | lose power | both start again                            |
      | freeze     | both thaw                                   |

  Scenario: The whole core loses its disks, and limiters give back what they hold
    Given a system at work whose core lost all disks
    Then requests are served all the while and changes are not
    When its operators look at the rescue and give their word
    Then the configuration that the limiters held is in force, and changes are
    And the same word is refused now
