Feature: Publishing declarations
  Operators change classes through the platform's log, sometimes at once.

  Scenario: Two operators race
    Given declarations in force
    When "ada" and "ben" change the same class against the same version
    Then the change of "ada" is accepted
    And the change of "ben" is refused, naming the class and "ada"

  Scenario: The answer to an append is lost
    Given declarations in force
    And the log loses its answers
    When "ada" changes a class
    Then the change of "ada" is accepted
    And the log holds one record more

  Scenario: The log is down
    Given declarations in force
    And the log is down
    When "ada" changes a class
    Then the platform is named as the cause

  Scenario: Nothing to change
    Given declarations in force
    When "ada" applies what is in force already
    Then nothing is published

  Scenario: A reader starts after old records have gone
    Given declarations in force
    And a log that has lost its oldest records behind a snapshot
    Then a new reader finds the same declarations
