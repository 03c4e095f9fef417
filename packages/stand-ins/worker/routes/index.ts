import './start-task.js';
import './wait-for-task.js';
import './list-tasks.js';
