Feature: Publishing declarations
  Operators change classes through the platform's log, sometimes concurrently.

  Scenario: Two operators make conflicting changes
    Given declarations in force
    When "ada" and "ben" change the same class against the same version
    Then the change of "ada" is accepted
    And the change of "ben" is refused, naming the class and "ada"

  Scenario: The response to an append is lost
    Given declarations in force
    And responses to appends are lost
    When "ada" changes a class
    Then the change of "ada" is accepted
    And the log holds one more record

  Scenario: The log is down
    Given declarations in force
    And the log is down
    When "ada" changes a class
    Then the platform is named as the cause

  Scenario: Nothing to change
    Given declarations in force
    When "ada" applies the declarations already in force
    Then nothing is published

  Scenario: A reader starts after old records have expired
    Given declarations in force
    And a log whose records before the snapshot have expired
    Then a new reader finds the same declarations
