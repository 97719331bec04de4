Feature: A process's own standstill isn't taken for the silence of its peers

  Scenario: A process that stands still while keepalives are unanswered keeps its connections
    Given two mesh endpoints in one process that exchange messages all the time
    When the process stands still for 600 ms, 5 times, with 300 ms between
    Then no mesh endpoint reports a problem, and messages arrive
